/** Compact set of 64-bit block hashes. */

/**
 * Hash set of 64-bit hashes with open addressing in a flat array. At 130,000 blocks it takes 2 MB
 * (262,144 slots of 8 bytes); a built-in `Set` would allocate an object for each hash.
 */
export interface BlockSet {
  readonly size: number;
  /** Size of the slot array. */
  readonly bytes: number;
  has(hash: bigint): boolean;
  add(hash: bigint): void;
  delete(hash: bigint): boolean;
  clear(): void;
}

const minSlots = 1_024;

/** Maximum ratio of used slots; keeps probe sequences short. */
const maxLoadFactor = 0.7;

/** Views of one buffer; split a hash into two 32-bit words without allocating big integers. */
const hashBuffer = new BigUint64Array(1);
const hashWords = new Uint32Array(hashBuffer.buffer);

export function createBlockSet(): BlockSet {
  let slots = new Uint32Array(minSlots * 2);
  let mask = minSlots - 1;
  let usedSlots = 0;
  // An empty slot is all zeros, so the hash 0 is recorded in a flag instead.
  let hasZero = false;

  /** Returns the slot of the hash, or the empty slot where it would be inserted. */
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

  const writeSlot = (slot: number, low: number, high: number): void => {
    slots[slot * 2] = low;
    slots[slot * 2 + 1] = high;
  };

  const resize = (count: number): void => {
    const oldSlots = slots;
    slots = new Uint32Array(count * 2);
    mask = count - 1;
    for (let index = 0; index < oldSlots.length; index += 2) {
      const low = oldSlots[index] as number;
      const high = oldSlots[index + 1] as number;
      if (low !== 0 || high !== 0) writeSlot(findSlot(low, high), low, high);
    }
  };

  /** Empties a slot and shifts the entries behind it back, so that no tombstones are needed. */
  const removeSlot = (removed: number): void => {
    let emptied = removed;
    for (let slot = (emptied + 1) & mask; !isEmpty(slot); slot = (slot + 1) & mask) {
      const low = slots[slot * 2] as number;
      const high = slots[slot * 2 + 1] as number;
      const homeSlot = (low ^ high) & mask;
      if (((slot - homeSlot) & mask) < ((slot - emptied) & mask)) continue;
      writeSlot(emptied, low, high);
      emptied = slot;
    }
    writeSlot(emptied, 0, 0);
  };

  return {
    get size() {
      return usedSlots + (hasZero ? 1 : 0);
    },
    get bytes() {
      return slots.byteLength;
    },
    has(hash) {
      if (hash === 0n) return hasZero;
      hashBuffer[0] = hash;
      return !isEmpty(findSlot(hashWords[0] as number, hashWords[1] as number));
    },
    add(hash) {
      if (hash === 0n) {
        hasZero = true;
        return;
      }
      hashBuffer[0] = hash;
      const low = hashWords[0] as number;
      const high = hashWords[1] as number;
      const slot = findSlot(low, high);
      if (!isEmpty(slot)) return;
      writeSlot(slot, low, high);
      usedSlots += 1;
      if (usedSlots > (mask + 1) * maxLoadFactor) resize((mask + 1) * 2);
    },
    delete(hash) {
      if (hash === 0n) {
        const wasPresent = hasZero;
        hasZero = false;
        return wasPresent;
      }
      hashBuffer[0] = hash;
      const slot = findSlot(hashWords[0] as number, hashWords[1] as number);
      if (isEmpty(slot)) return false;
      removeSlot(slot);
      usedSlots -= 1;
      const slotCount = mask + 1;
      if (slotCount > minSlots && usedSlots < (slotCount * maxLoadFactor) / 8)
        resize(slotCount / 2);
      return true;
    },
    clear() {
      slots = new Uint32Array(minSlots * 2);
      mask = minSlots - 1;
      usedSlots = 0;
      hasZero = false;
    },
  };
}
