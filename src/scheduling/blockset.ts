/** Compact set of 64-bit block hashes. */

/**
 * Set of 64-bit hashes in a flat array. At 130,000 blocks it takes 2 MB (262,144 slots of
 * 8 bytes); a built-in set would hold each hash as an object of its own.
 */
export interface BlockSet {
  readonly size: number;
  /** Bytes of the slots. */
  readonly bytes: number;
  has(hash: bigint): boolean;
  add(hash: bigint): void;
  delete(hash: bigint): boolean;
  clear(): void;
}

const minSlots = 1_024;

/** Probe sequences stay short while at most this share of the slots is in use. */
const maxLoad = 0.7;

/** Splits a hash into two 32-bit words without creating further big integers. */
const wideWord = new BigUint64Array(1);
const words = new Uint32Array(wideWord.buffer);

export function createBlockSet(): BlockSet {
  let slots = new Uint32Array(minSlots * 2);
  let mask = minSlots - 1;
  let used = 0;
  // An empty slot is all zero, so the hash 0 is kept apart.
  let hasZero = false;

  /** Returns the slot that holds the hash, or the empty one where it belongs. */
  const findSlot = (low: number, high: number): number => {
    let slot = (low ^ high) & mask;
    for (;;) {
      const slotLow = slots[slot * 2];
      const slotHigh = slots[slot * 2 + 1];
      if (slotLow === low && slotHigh === high) return slot;
      if (slotLow === 0 && slotHigh === 0) return slot;
      slot = (slot + 1) & mask;
    }
  };

  const isEmpty = (slot: number): boolean => slots[slot * 2] === 0 && slots[slot * 2 + 1] === 0;

  const put = (slot: number, low: number, high: number): void => {
    slots[slot * 2] = low;
    slots[slot * 2 + 1] = high;
  };

  const resize = (count: number): void => {
    const old = slots;
    slots = new Uint32Array(count * 2);
    mask = count - 1;
    for (let index = 0; index < old.length; index += 2) {
      const low = old[index] as number;
      const high = old[index + 1] as number;
      if (low !== 0 || high !== 0) put(findSlot(low, high), low, high);
    }
  };

  /** Closes the hole of a removed hash, so that probe sequences need no tombstones. */
  const closeHole = (removed: number): void => {
    let hole = removed;
    for (let slot = (hole + 1) & mask; !isEmpty(slot); slot = (slot + 1) & mask) {
      const low = slots[slot * 2] as number;
      const high = slots[slot * 2 + 1] as number;
      const home = (low ^ high) & mask;
      if (((slot - home) & mask) < ((slot - hole) & mask)) continue;
      put(hole, low, high);
      hole = slot;
    }
    put(hole, 0, 0);
  };

  return {
    get size() {
      return used + (hasZero ? 1 : 0);
    },
    get bytes() {
      return slots.byteLength;
    },
    has(hash) {
      if (hash === 0n) return hasZero;
      wideWord[0] = hash;
      return !isEmpty(findSlot(words[0] as number, words[1] as number));
    },
    add(hash) {
      if (hash === 0n) {
        hasZero = true;
        return;
      }
      wideWord[0] = hash;
      const low = words[0] as number;
      const high = words[1] as number;
      const slot = findSlot(low, high);
      if (!isEmpty(slot)) return;
      put(slot, low, high);
      used += 1;
      if (used > (mask + 1) * maxLoad) resize((mask + 1) * 2);
    },
    delete(hash) {
      if (hash === 0n) {
        const had = hasZero;
        hasZero = false;
        return had;
      }
      wideWord[0] = hash;
      const slot = findSlot(words[0] as number, words[1] as number);
      if (isEmpty(slot)) return false;
      closeHole(slot);
      used -= 1;
      const slotCount = mask + 1;
      if (slotCount > minSlots && used < (slotCount * maxLoad) / 8) resize(slotCount / 2);
      return true;
    },
    clear() {
      slots = new Uint32Array(minSlots * 2);
      mask = minSlots - 1;
      used = 0;
      hasZero = false;
    },
  };
}
