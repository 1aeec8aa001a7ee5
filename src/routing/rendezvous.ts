import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/**
 * Orders candidates by rendezvous hashing: every process gives the same order for a key, and
 * adding or removing a candidate moves only the keys of that candidate.
 */
export function rankByRendezvous<T>(
  key: string,
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): readonly T[] {
  return candidates
    .map((candidate) => ({ candidate, name: nameOf(candidate) }))
    .map(({ candidate, name }) => ({ candidate, name, score: h32(`${key}\n${name}`) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ candidate }) => candidate);
}
