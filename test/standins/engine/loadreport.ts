/** Load of an engine, reported with a delay. */
export interface DelayedLoadReport {
  record(nowMs: number, load: Load): void;
  /** Returns the load that the engine had `lagMs` before `nowMs`. */
  read(nowMs: number): Load;
}

export interface Load {
  readonly running: number;
  readonly waiting: number;
}

export function createDelayedLoadReport(lagMs: number): DelayedLoadReport {
  const changes: { readonly at: number; readonly load: Load }[] = [];
  let delayedLoad: Load = { running: 0, waiting: 0 };

  const read = (nowMs: number): Load => {
    while (changes[0] && changes[0].at <= nowMs - lagMs)
      delayedLoad = changes.shift()?.load ?? delayedLoad;
    return delayedLoad;
  };

  return {
    record(nowMs, load) {
      read(nowMs);
      changes.push({ at: nowMs, load });
    },
    read,
  };
}
