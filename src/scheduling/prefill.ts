/** Model of the engine's prefill, whose speed the running requests share equally. */

/** Prefill of one running request. */
export interface PrefillWork {
  /** Milliseconds that are left if the engine computed nothing else; 0 once it ended. */
  leftMs: number;
}

/** Work below this is rounding. */
const roundingToleranceMs = 1e-6;

/** Time until the next of the prefills ends when nothing is added, or Infinity. */
export function timeUntilPrefillEnd(items: Iterable<PrefillWork>): number {
  let count = 0;
  let least = Infinity;
  for (const { leftMs } of items) {
    if (leftMs <= 0) continue;
    count += 1;
    least = Math.min(least, leftMs);
  }
  return count === 0 ? Infinity : least * count;
}

/** Lets the prefills progress; calls `onEnd` with the time since the start for each that ends. */
export function advancePrefill<W extends PrefillWork>(
  items: readonly W[],
  elapsedMs: number,
  onEnd: (item: W, afterMs: number) => void,
): void {
  let doneMs = 0;
  while (doneMs < elapsedMs) {
    const active = items.filter(({ leftMs }) => leftMs > 0);
    if (active.length === 0) return;
    const stepMs = Math.min(elapsedMs - doneMs, timeUntilPrefillEnd(active));
    doneMs += stepMs;
    for (const item of active) {
      item.leftMs -= stepMs / active.length;
      if (item.leftMs > roundingToleranceMs) continue;
      item.leftMs = 0;
      onEnd(item, doneMs);
    }
  }
}

/** Duration of a prefill that starts beside the given ones when nothing is added later. */
export function sharedPrefillMs(items: Iterable<PrefillWork>, ownMs: number): number {
  let totalMs = ownMs;
  for (const { leftMs } of items) totalMs += Math.min(leftMs, ownMs);
  return totalMs;
}
