/** Memory that a group of buffers shares, in bytes. */
export interface Allowance {
  readonly heldBytes: number;
  /** Returns false, and takes nothing, when less than `bytes` is left. */
  tryTake(bytes: number): boolean;
  release(bytes: number): void;
  /** Changes the limit; what is held beyond a smaller one stays held. */
  limit(maxBytes: number): void;
}

export function createAllowance(initialMaxBytes: number): Allowance {
  let maxBytes = initialMaxBytes;
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
    limit(nextMaxBytes) {
      maxBytes = nextMaxBytes;
    },
  };
}
