import { type TargetStandin } from '../standins/platform/target.js';
import { isPromptRoute, type ObservedResponse } from './caller.js';
import { type Violation } from './invariants.js';

export interface RepeatLimits {
  /** Repeats per request. */
  readonly ratio: number;
  /** Repeats of all gateways together in addition to the ratio. */
  readonly slack: number;
  readonly windowMs: number;
}

const services: Readonly<Record<string, (route: string) => boolean>> = {
  llm: isPromptRoute,
  desk: (route) => !isPromptRoute(route),
};

/** Times of the arrivals beyond the first of each request, whether they ran or not. */
function repeatTimes(targets: readonly TargetStandin[]): readonly number[] {
  const arrivals = targets.flatMap((target) => target.arrivals).sort((a, b) => a.at - b.at);
  const seen = new Set<string>();
  const times: number[] = [];
  for (const { requestId, at } of arrivals) {
    if (seen.has(requestId)) times.push(at);
    seen.add(requestId);
  }
  return times;
}

/**
 * Finds windows in which a service got more repeats from all gateways than the limits allow. The
 * requests are counted in the window, in the one before or half a window earlier, whichever has most.
 */
export function findExcessRepeats(
  responses: readonly ObservedResponse[],
  targets: readonly TargetStandin[],
  { ratio, slack, windowMs }: RepeatLimits,
): readonly Violation[] {
  const found: Violation[] = [];
  for (const [service, isRouteOf] of Object.entries(services)) {
    const sentAt = responses.filter(({ route }) => isRouteOf(route)).map((res) => res.sentAt);
    const times = repeatTimes(targets.filter(({ id }) => id.startsWith(service)));
    const countSent = (to: number): number =>
      sentAt.filter((at) => at > to - windowMs && at <= to).length;
    let worst = { excess: 0, detail: '' };
    for (const end of times) {
      const repeats = times.filter((at) => at > end - windowMs && at <= end).length;
      const ends = [end, end - windowMs / 2, end - windowMs];
      const requests = Math.max(...ends.map(countSent));
      const allowed = ratio * requests + slack;
      if (repeats - allowed <= worst.excess) continue;
      const detail = `${service}: ${repeats} for ${requests} requests, ${allowed} are allowed`;
      worst = { excess: repeats - allowed, detail };
    }
    if (worst.excess > 0)
      found.push({
        promise: 'repeats stay within the budget',
        requestId: '',
        detail: worst.detail,
      });
  }
  return found;
}
