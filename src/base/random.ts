/** Source of random numbers; a seeded one makes tests and measurements reproducible. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). */
  integer(bound: number): number;
}

function fromSource(next: () => number): Random {
  return { next, integer: (bound) => Math.floor(next() * bound) };
}

/** Random numbers from Math.random(), for use outside tests. */
export const systemRandom: Random = fromSource(() => Math.random());

/** Mulberry32 generator: the same seed gives the same sequence on every machine. */
export function createSeededRandom(seed: number): Random {
  let state = seed >>> 0;
  return fromSource(() => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  });
}

/**
 * Returns a random delay from 0 up to a limit ("full jitter"). The limit is `baseMs` for attempt 0,
 * doubles with each attempt and is at most `maxMs`.
 */
export function fullJitter(random: Random, baseMs: number, maxMs: number, attempt: number): number {
  return random.next() * Math.min(maxMs, baseMs * 2 ** attempt);
}

/** Returns a copy of the items in random order (Fisher-Yates). */
export function shuffled<T>(random: Random, items: readonly T[]): T[] {
  const list = [...items];
  for (let index = list.length - 1; index > 0; index -= 1) {
    const other = random.integer(index + 1);
    [list[index], list[other]] = [list[other] as T, list[index] as T];
  }
  return list;
}
