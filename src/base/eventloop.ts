import { performance, type PerformanceNodeTiming } from 'node:perf_hooks';

/** Use of the event loop between two readings. */
export interface LoopUsage {
  readonly iterations: number;
  /** Share of the time that was not spent waiting for events, 0 to 1. */
  readonly utilization: number;
}

/** Reads the usage of the event loop since its last reading. */
export interface LoopMeter {
  read(): LoopUsage;
}

/** Node counts the iterations since 20.18. */
const timing: Partial<PerformanceNodeTiming> = performance.nodeTiming;

// eslint-disable-next-line n/no-unsupported-features/node-builtins -- Older ones count none.
const iterationsNow = (): number => timing.uvMetricsInfo?.loopCount ?? 0;

export function createLoopMeter(): LoopMeter {
  let usage = performance.eventLoopUtilization();
  let iterations = iterationsNow();
  return {
    read() {
      const before = iterations;
      const { utilization } = performance.eventLoopUtilization(usage);
      usage = performance.eventLoopUtilization();
      iterations = iterationsNow();
      return { utilization, iterations: iterations - before };
    },
  };
}
