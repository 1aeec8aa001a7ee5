import { type BlockCache } from './blockcache.js';

/** Speeds and sizes of a stand-in engine's batch. */
export interface BatchOptions {
  readonly places: number;
  /** Prefill speed of the whole engine; running prefills share it first come, first served. */
  readonly prefillTokensPerSecond: number;
  /** Decode speed of a stream that runs alone. */
  readonly decodeTokensPerSecond: number;
  /** Decode time grows by this share for each further stream in the batch. */
  readonly decodeSlowdownPerStream?: number | undefined;
  /** Decode time grows by this share while a prefill runs. */
  readonly decodeSlowdownByPrefill?: number;
  readonly blockTokens: number;
}

/** One request as the batch runs it. */
export interface BatchJob {
  readonly priority: number;
  readonly hashes: readonly bigint[];
  readonly owner: string;
  readonly promptTokens: number;
  /** Index of the first token to produce; above 0 when an answer is continued. */
  readonly firstToken: number;
  readonly maxTokens: number;
  readonly onStart: (cachedBlocks: number) => void;
  readonly onTokens: (from: number, to: number) => void;
  readonly onEnd: () => void;
  /** Called once when the job leaves the batch for any reason, with its prefilled tokens. */
  readonly onLeave: (prefilledTokens: number) => void;
}

/** Continuous batch over a cache, advanced by its owner's clock. */
export interface Batch {
  readonly running: number;
  readonly waiting: number;
  /** Starts the job at once when a place is free, else queues it; returns its cancel function. */
  add(job: BatchJob): () => void;
  advance(elapsedMs: number): void;
  /** Divides all speeds. */
  setSlowFactor(factor: number): void;
  /** Drops all jobs. */
  clear(): void;
}

interface RunningJob {
  readonly job: BatchJob;
  /** Blocks that the job pins in the cache. */
  readonly pinned: bigint[];
  prefillLeft: number;
  prefilled: number;
  /** Next block of the prompt to store. */
  nextBlock: number;
  firstBlock: number;
  produced: number;
  emitted: number;
}

export function createBatch(options: BatchOptions, cache: BlockCache): Batch {
  const { places, prefillTokensPerSecond, decodeTokensPerSecond, blockTokens } = options;
  const { decodeSlowdownPerStream = 0.03, decodeSlowdownByPrefill = 0.15 } = options;
  const running = new Map<BatchJob, RunningJob>();
  const waiting: BatchJob[] = [];
  let slowFactor = 1;

  const start = (job: BatchJob): void => {
    const cached = cache.cachedDepth(job.hashes);
    const pinned = job.hashes.slice(0, cached);
    for (const hash of pinned) cache.pin(hash);
    running.set(job, {
      job,
      pinned,
      prefillLeft: job.promptTokens + job.firstToken - cached * blockTokens,
      prefilled: 0,
      nextBlock: cached,
      firstBlock: cached,
      produced: job.firstToken,
      emitted: job.firstToken,
    });
    job.onStart(cached);
  };

  const fill = (): void => {
    while (running.size < places && waiting.length > 0) start(waiting.shift() as BatchJob);
  };

  const leave = (run: RunningJob): void => {
    running.delete(run.job);
    cache.release(run.pinned);
    run.job.onLeave(run.prefilled);
  };

  const storeComputed = (run: RunningJob): void => {
    const { job } = run;
    while (run.nextBlock < job.hashes.length) {
      const needed = (run.nextBlock + 1 - run.firstBlock) * blockTokens;
      if (run.prefilled < needed && run.prefillLeft > 0) return;
      const hash = job.hashes[run.nextBlock] as bigint;
      // A chain with a hole can't be used, so storing stops at the first block without room.
      if (!cache.store(hash, job.owner)) {
        run.nextBlock = job.hashes.length;
        return;
      }
      run.pinned.push(hash);
      run.nextBlock += 1;
    }
  };

  const prefill = (elapsedMs: number): boolean => {
    let budget = (prefillTokensPerSecond * elapsedMs) / 1_000 / slowFactor;
    let worked = false;
    for (const run of running.values()) {
      if (budget <= 0) break;
      if (run.prefillLeft <= 0) continue;
      worked = true;
      const part = Math.min(budget, run.prefillLeft);
      budget -= part;
      run.prefillLeft -= part;
      run.prefilled += part;
      storeComputed(run);
      // The prefill yields the first token.
      if (run.prefillLeft <= 0) run.produced += 1;
    }
    return worked;
  };

  const decode = (elapsedMs: number, prefilling: boolean): void => {
    const slowdown =
      (1 + decodeSlowdownPerStream * (running.size - 1)) *
      (prefilling ? 1 + decodeSlowdownByPrefill : 1) *
      slowFactor;
    const tokens = (decodeTokensPerSecond * elapsedMs) / 1_000 / slowdown;
    for (const run of [...running.values()]) {
      if (run.prefillLeft > 0) continue;
      if (run.emitted > run.job.firstToken || run.prefilled === 0) run.produced += tokens;
      const available = Math.min(run.job.maxTokens, Math.floor(run.produced));
      if (available > run.emitted) {
        run.job.onTokens(run.emitted, available);
        run.emitted = available;
      }
      if (run.emitted < run.job.maxTokens) continue;
      run.job.onEnd();
      leave(run);
    }
  };

  return {
    get running() {
      return running.size;
    },
    get waiting() {
      return waiting.length;
    },
    add(job) {
      const after = waiting.findIndex(({ priority }) => priority < job.priority);
      waiting.splice(after < 0 ? waiting.length : after, 0, job);
      fill();
      return () => {
        const run = running.get(job);
        if (run) leave(run);
        const index = waiting.indexOf(job);
        if (index >= 0) {
          waiting.splice(index, 1);
          job.onLeave(0);
        }
        fill();
      };
    },
    advance(elapsedMs) {
      const prefilling = prefill(elapsedMs);
      decode(elapsedMs, prefilling);
      fill();
    },
    setSlowFactor(factor) {
      slowFactor = factor;
    },
    clear() {
      for (const run of [...running.values()]) leave(run);
      for (const job of waiting.splice(0)) job.onLeave(0);
    },
  };
}
