/** Measures the usage of a daemon over a window, and fits lines to such measurements. */
import { noCancellation } from '../../src/base/cancellation.js';
import { sleep, systemClock } from '../../src/base/clock.js';
import { type DaemonChild } from './daemons.js';

/** Resource use of one process over a window. */
export interface Cost {
  /** Percent of one core. */
  readonly corePercent: number;
  readonly residentMb: number;
  readonly bytesPerSecond: number;
}

/** Length of the measurement window of a daemon. */
export const windowMs = 8_000;

/** Delay before a window, so that connections and just-in-time compilation settle. */
const settleMs = 10_000;

export function pause(ms: number): Promise<void> {
  return sleep(systemClock, ms, noCancellation);
}

/** Measures a daemon over one window after the settling delay. */
export async function measureDaemon(daemon: DaemonChild, bytes: () => number): Promise<Cost> {
  await pause(settleMs);
  const before = await daemon.usage();
  const bytesBefore = bytes();
  const start = performance.now();
  await pause(windowMs);
  const after = await daemon.usage();
  const seconds = (performance.now() - start) / 1_000;
  return {
    corePercent: ((after.cpuSeconds - before.cpuSeconds) / seconds) * 100,
    residentMb: after.residentBytes / 1e6,
    bytesPerSecond: (bytes() - bytesBefore) / seconds,
  };
}

/** Fits a least-squares line to points (x, y). */
export function fitLine(points: readonly (readonly [number, number])[]) {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const squaredDeviationSum = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const deviationProductSum = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = deviationProductSum / squaredDeviationSum;
  return { slope, base: meanY - slope * meanX };
}

/** Prints the costs at each size, then the base and the slope of the fitted lines. */
export function printCosts(title: string, unit: string, costs: ReadonlyMap<number, Cost>): void {
  console.log(`\n${title}`);
  for (const [size, { corePercent, residentMb, bytesPerSecond }] of costs) {
    const figures = `${corePercent.toFixed(2)}% of a core, ${residentMb.toFixed(1)} MB`;
    console.log(`  ${size} ${unit}: ${figures}, ${Math.round(bytesPerSecond)} B/s`);
  }
  const fitCosts = (valueOf: (cost: Cost) => number) =>
    fitLine([...costs].map(([size, cost]) => [size, valueOf(cost)] as const));
  const cpu = fitCosts((cost) => cost.corePercent);
  const memory = fitCosts((cost) => cost.residentMb);
  const bytes = fitCosts((cost) => cost.bytesPerSecond);
  console.log(
    `  base ${cpu.base.toFixed(2)}%, ${memory.base.toFixed(1)} MB, ${bytes.base.toFixed(0)} B/s`,
  );
  console.log(
    `  slope per ${unit}: ${cpu.slope.toFixed(5)}% of a core, ` +
      `${(memory.slope * 1_000).toFixed(1)} KB, ${bytes.slope.toFixed(1)} B/s`,
  );
}
