import { performance, type PerformanceNodeTiming } from 'node:perf_hooks';

/** Event loop usage between two readings. */
export interface LoopUsage {
  readonly iterations: number;
  /** Fraction of the time that was not spent waiting for events, 0 to 1. */
  readonly utilization: number;
}

/** Reports the event loop usage since the previous reading. */
export interface LoopMeter {
  read(): LoopUsage;
}

/** Node reports the number of iterations since 20.18. */
const timing: Partial<PerformanceNodeTiming> = performance.nodeTiming;

// eslint-disable-next-line n/no-unsupported-features/node-builtins -- Undefined in older versions.
const readIterations = (): number => timing.uvMetricsInfo?.loopCount ?? 0;

export function createLoopMeter(): LoopMeter {
  let usage = performance.eventLoopUtilization();
  let iterations = readIterations();
  return {
    read() {
      const before = iterations;
      const { utilization } = performance.eventLoopUtilization(usage);
      usage = performance.eventLoopUtilization();
      iterations = readIterations();
      return { utilization, iterations: iterations - before };
    },
  };
}
