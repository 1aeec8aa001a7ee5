import { type BlockCache } from './blockcache.js';

/** Speeds and limits of a stand-in engine's batch. */
export interface BatchOptions {
  /** Requests that can run at once. */
  readonly places: number;
  /** Prefill speed of the whole engine; running prefills are served in order of their start. */
  readonly prefillTokensPerSecond: number;
  /** Decode speed of a stream that runs alone. */
  readonly decodeTokensPerSecond: number;
  /** Decode time per token grows by this fraction for each further stream in the batch. */
  readonly decodeSlowdownPerStream?: number | undefined;
  /** Decode time per token grows by this fraction while a prefill runs. */
  readonly decodeSlowdownByPrefill?: number;
  readonly blockTokens: number;
}

/** One request in the batch. */
export interface BatchJob {
  readonly priority: number;
  readonly hashes: readonly bigint[];
  readonly owner: string;
  readonly promptTokens: number;
  /** Index of the first token to generate; above 0 when a completion is continued. */
  readonly firstToken: number;
  readonly maxTokens: number;
  readonly onStart: (cachedBlocks: number) => void;
  readonly onTokens: (from: number, to: number) => void;
  readonly onEnd: () => void;
  /** Called once when the job is removed for any reason, with the tokens that it prefilled. */
  readonly onRemove: (prefilledTokens: number) => void;
}

/** Continuous batch that uses a block cache; its time advances only by `advance`. */
export interface Batch {
  readonly running: number;
  readonly waiting: number;
  /** Starts the job if a slot is free, else queues it by priority; returns its cancel function. */
  add(job: BatchJob): () => void;
  advance(elapsedMs: number): void;
  /** Divides all speeds. */
  setSlowFactor(factor: number): void;
  /** Removes all running and queued jobs. */
  clear(): void;
}

interface RunningJob {
  readonly job: BatchJob;
  /** Blocks that the job has pinned in the cache. */
  readonly pinned: bigint[];
  remainingPrefillTokens: number;
  prefilledTokens: number;
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
      remainingPrefillTokens: job.promptTokens + job.firstToken - cached * blockTokens,
      prefilledTokens: 0,
      nextBlock: cached,
      firstBlock: cached,
      produced: job.firstToken,
      emitted: job.firstToken,
    });
    job.onStart(cached);
  };

  const startWaitingJobs = (): void => {
    while (running.size < places && waiting.length > 0) start(waiting.shift() as BatchJob);
  };

  const remove = (run: RunningJob): void => {
    running.delete(run.job);
    cache.release(run.pinned);
    run.job.onRemove(run.prefilledTokens);
  };

  const storeComputed = (run: RunningJob): void => {
    const { job } = run;
    while (run.nextBlock < job.hashes.length) {
      const needed = (run.nextBlock + 1 - run.firstBlock) * blockTokens;
      if (run.prefilledTokens < needed && run.remainingPrefillTokens > 0) return;
      const hash = job.hashes[run.nextBlock] as bigint;
      // Blocks behind a missing block can't be used, so storing stops when the cache has no room.
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
    let hasPrefilled = false;
    for (const run of running.values()) {
      if (budget <= 0) break;
      if (run.remainingPrefillTokens <= 0) continue;
      hasPrefilled = true;
      const part = Math.min(budget, run.remainingPrefillTokens);
      budget -= part;
      run.remainingPrefillTokens -= part;
      run.prefilledTokens += part;
      storeComputed(run);
      // The prefill generates the first token.
      if (run.remainingPrefillTokens <= 0) run.produced += 1;
    }
    return hasPrefilled;
  };

  const decode = (elapsedMs: number, isPrefilling: boolean): void => {
    const slowdown =
      (1 + decodeSlowdownPerStream * (running.size - 1)) *
      (isPrefilling ? 1 + decodeSlowdownByPrefill : 1) *
      slowFactor;
    const tokens = (decodeTokensPerSecond * elapsedMs) / 1_000 / slowdown;
    for (const run of [...running.values()]) {
      if (run.remainingPrefillTokens > 0) continue;
      if (run.emitted > run.job.firstToken || run.prefilledTokens === 0) run.produced += tokens;
      const available = Math.min(run.job.maxTokens, Math.floor(run.produced));
      if (available > run.emitted) {
        run.job.onTokens(run.emitted, available);
        run.emitted = available;
      }
      if (run.emitted < run.job.maxTokens) continue;
      run.job.onEnd();
      remove(run);
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
      const insertIndex = waiting.findIndex(({ priority }) => priority < job.priority);
      waiting.splice(insertIndex < 0 ? waiting.length : insertIndex, 0, job);
      startWaitingJobs();
      return () => {
        const run = running.get(job);
        if (run) remove(run);
        const index = waiting.indexOf(job);
        if (index >= 0) {
          waiting.splice(index, 1);
          job.onRemove(0);
        }
        startWaitingJobs();
      };
    },
    advance(elapsedMs) {
      const isPrefilling = prefill(elapsedMs);
      decode(elapsedMs, isPrefilling);
      startWaitingJobs();
    },
    setSlowFactor(factor) {
      slowFactor = factor;
    },
    clear() {
      for (const run of [...running.values()]) remove(run);
      for (const job of waiting.splice(0)) job.onRemove(0);
    },
  };
}
