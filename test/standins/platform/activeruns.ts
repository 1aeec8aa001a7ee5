/** Stream that a stand-in engine is working on. */
export interface ActiveRun {
  /** Set once the run has to end without the end of its response. */
  readonly isStopped: boolean;
  end(): void;
}

/** Streams that a stand-in engine works on, whether their connections are open or not. */
export interface ActiveRuns {
  readonly ids: readonly string[];
  begin(requestId: string): ActiveRun;
  /** Returns false when there is no such run. */
  stop(requestId: string): boolean;
}

export function createActiveRuns(): ActiveRuns {
  const runs = new Map<string, { isStopped: boolean }>();
  return {
    get ids() {
      return [...runs.keys()];
    },
    begin(requestId) {
      const state = { isStopped: false };
      runs.set(requestId, state);
      return {
        get isStopped() {
          return state.isStopped;
        },
        end() {
          if (runs.get(requestId) === state) runs.delete(requestId);
        },
      };
    },
    stop(requestId) {
      const state = runs.get(requestId);
      if (state) state.isStopped = true;
      return state !== undefined;
    },
  };
}
