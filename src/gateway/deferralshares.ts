/** Keeps a minimum share of each class of requests, so that none starves behind more urgent ones. */
export interface MinimumShares {
  /** Records a new request of a class. */
  arrive(key: string): void;
  /** True when a request of the class may be sent without room. */
  isBelow(key: string): boolean;
  /** Records that a request was sent; one for which there was room uses nothing of the minimum. */
  send(key: string, hadRoom: boolean): void;
}

/** Fraction of the requests of a class that is sent even while more urgent ones are late. */
const minimumShare = 0.1;

/** Largest credit in requests, so that a quiet class gets no burst. */
const maxCredit = 1;

/** Classes that are recorded: routes of services in the configuration, which lists a few. */
const maxClasses = 1_024;

export function createMinimumShares(): MinimumShares {
  const credits = new Map<string, number>();
  return {
    arrive(key) {
      if (credits.size >= maxClasses && !credits.has(key)) return;
      credits.set(key, Math.min(maxCredit, (credits.get(key) ?? 0) + minimumShare));
    },
    // Sums of tenths are not exact.
    isBelow: (key) => (credits.get(key) ?? 0) > maxCredit - minimumShare / 2,
    send(key, hadRoom) {
      if (!hadRoom) credits.set(key, 0);
    },
  };
}
