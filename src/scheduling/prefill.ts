/** Model of the engine's prefill, whose speed the running requests share equally. */

/** Prefill of one running request. */
export interface PrefillWork {
  /** Milliseconds that remain if the engine computes nothing else; 0 once the prefill ended. */
  leftMs: number;
}

/** Remaining work up to this is a rounding error and counts as done. */
const roundingToleranceMs = 1e-6;

/** Time until the next of the prefills ends if none is added, or Infinity. */
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

/** Advances the prefills; calls `onEnd` for each that ends, with the elapsed time up to its end. */
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

/** Duration of a prefill that starts beside the given ones if none is added later. */
export function sharedPrefillMs(items: Iterable<PrefillWork>, ownMs: number): number {
  let totalMs = ownMs;
  for (const { leftMs } of items) totalMs += Math.min(leftMs, ownMs);
  return totalMs;
}
