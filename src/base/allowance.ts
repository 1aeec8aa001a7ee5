/** Memory that a group of buffers shares, in bytes. */
export interface Allowance {
  readonly heldBytes: number;
  /** Returns false, and takes nothing, when less than `bytes` is left. */
  tryTake(bytes: number): boolean;
  release(bytes: number): void;
}

export function createAllowance(maxBytes: number): Allowance {
  let heldBytes = 0;
  return {
    get heldBytes() {
      return heldBytes;
    },
    tryTake(bytes) {
      if (heldBytes + bytes > maxBytes) return false;
      heldBytes += bytes;
      return true;
    },
    release(bytes) {
      heldBytes -= bytes;
    },
  };
}
