/** Load of an engine as its reports show it. */
export interface LaggingLoad {
  record(nowMs: number, load: Load): void;
  /** Load that the engine had `lagMs` before now. */
  read(nowMs: number): Load;
}

export interface Load {
  readonly running: number;
  readonly waiting: number;
}

export function createLaggingLoad(lagMs: number): LaggingLoad {
  const changes: { readonly at: number; readonly load: Load }[] = [];
  let past: Load = { running: 0, waiting: 0 };

  const read = (nowMs: number): Load => {
    while (changes[0] && changes[0].at <= nowMs - lagMs) past = changes.shift()?.load ?? past;
    return past;
  };

  return {
    record(nowMs, load) {
      read(nowMs);
      changes.push({ at: nowMs, load });
    },
    read,
  };
}
