import xxhash from 'xxhash-wasm';

const { h32, h64 } = await xxhash();

/** Maximum names whose hashes are cached; far above the number of targets of one site. */
const maxCachedNames = 16_384;

const nameHashes = new Map<string, number>();

function hashName(name: string): number {
  const cached = nameHashes.get(name);
  if (cached !== undefined) return cached;
  if (nameHashes.size >= maxCachedNames) nameHashes.clear();
  const hash = h32(name);
  nameHashes.set(name, hash);
  return hash;
}

/** Returns the key of a text for {@link RendezvousTable.top}. */
export function hashText(text: string): bigint {
  return h64(text);
}

/** Finaliser of MurmurHash3: every input bit changes every output bit with even odds. */
function mix(value: number): number {
  let mixed = value ^ (value >>> 16);
  mixed = Math.imul(mixed, 0x85ebca6b);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Candidates with the hashes of their names, so that ranking them for many keys is cheap. */
export interface RendezvousTable<T> {
  /**
   * Returns the first candidates in the order of a key. The order is the same in every process, and
   * adding or removing a candidate moves only the keys of that candidate. Candidates whose index
   * `accept` rejects are skipped.
   */
  top(key: bigint, count: number, accept?: (index: number) => boolean): readonly T[];
}

export function createRendezvousTable<T>(
  candidates: readonly T[],
  nameOf: (candidate: T) => string,
): RendezvousTable<T> {
  const hashes = new Uint32Array(candidates.length);
  for (let index = 0; index < candidates.length; index += 1) {
    hashes[index] = hashName(nameOf(candidates[index] as T));
  }

  const isBefore = (a: number, scoreA: number, b: number, scoreB: number): boolean => {
    if (scoreA !== scoreB) return scoreA > scoreB;
    return nameOf(candidates[a] as T) < nameOf(candidates[b] as T);
  };

  /** Finds the first candidate without a sorted list, because most keys need only that one. */
  const findTop = (
    low: number,
    high: number,
    accept: ((index: number) => boolean) | undefined,
  ): readonly T[] => {
    let best = -1;
    let bestScore = -1;
    for (let index = 0; index < hashes.length; index += 1) {
      const score = mix(mix((hashes[index] as number) ^ low) ^ high);
      if (score < bestScore) continue;
      if (accept && !accept(index)) continue;
      if (best >= 0 && !isBefore(index, score, best, bestScore)) continue;
      best = index;
      bestScore = score;
    }
    return best < 0 ? [] : [candidates[best] as T];
  };

  return {
    top(key, count, accept) {
      const low = Number(BigInt.asUintN(32, key));
      const high = Number(BigInt.asUintN(32, key >> 32n));
      if (count === 1) return findTop(low, high, accept);
      const indexes: number[] = [];
      const scores: number[] = [];
      for (let index = 0; index < hashes.length; index += 1) {
        const score = mix(mix((hashes[index] as number) ^ low) ^ high);
        const full = indexes.length >= count;
        if (full && score < (scores[count - 1] as number)) continue;
        if (accept && !accept(index)) continue;
        let position = indexes.length;
        while (
          position > 0 &&
          isBefore(index, score, indexes[position - 1] as number, scores[position - 1] as number)
        ) {
          position -= 1;
        }
        if (position >= count) continue;
        indexes.splice(position, 0, index);
        scores.splice(position, 0, score);
        if (full) {
          indexes.pop();
          scores.pop();
        }
      }
      return indexes.map((index) => candidates[index] as T);
    },
  };
}
