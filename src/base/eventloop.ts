import { performance, type PerformanceNodeTiming } from 'node:perf_hooks';
import { type Clock } from './clock.js';
import { type Disposable } from './lifecycle.js';

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

/** Measures how late the event loop handles its events, in milliseconds. */
export interface DelayMeter extends Disposable {
  /** Longest delay of a timer in the last second. */
  readonly recentMs: number;
  /** Longest time for which an event that is handled now may have waited. */
  readonly boundMs: number;
}

const beatMs = 100;

/** Beats of one second. */
const maxBeats = 10;

export function createDelayMeter(clock: Clock): DelayMeter {
  let beatAt = clock.now();
  let delays: readonly number[] = [0];
  const beat = (): void => {
    const now = clock.now();
    delays = [...delays.slice(1 - maxBeats), Math.max(0, now - beatAt - beatMs)];
    beatAt = now;
    schedule();
  };
  let timer: Disposable | undefined;
  function schedule(): void {
    timer = clock.setTimer(beatMs, beat);
  }
  schedule();
  const sinceBeatMs = (): number => clock.now() - beatAt;
  return {
    get recentMs() {
      return Math.max(...delays, sinceBeatMs() - beatMs);
    },
    // An event may have come during the last beat or since then.
    get boundMs() {
      return (delays.at(-1) ?? 0) + sinceBeatMs();
    },
    dispose: () => timer?.dispose(),
  };
}
