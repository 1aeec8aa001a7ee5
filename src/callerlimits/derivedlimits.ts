import { sharedBytes } from '../base/responselimits.js';

/** Part of a machine that the process may use. */
export interface Machine {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** Bounds of what all callers together can make the process hold. */
export interface DerivedLimits {
  readonly maxConnections: number;
  /** Requests that were read while an earlier one of their connection is served. */
  readonly maxWaitingRequests: number;
  /** Bytes of request heads, and of lines before them, that are not complete. */
  readonly maxHeadBytes: number;
  /** Bytes that were received and wait to be parsed. */
  readonly maxUnparsedBytes: number;
  /** Bytes of complete responses that callers leave unread, from which connections wait. */
  readonly maxUnreadBytes: number;
  /** Bytes of bodies beyond those that each body may use. */
  readonly maxBodyBytes: number;
  /** Bytes of responses of targets beyond those that each response may use. */
  readonly maxResponseBytes: number;
  /** Resident memory in bytes from which connections are closed and nothing is read ahead. */
  readonly pressureBytes: number;
}

const mib = 1_048_576;

/** Resident memory of a gateway in service without load: 57 to 64 MB were measured. */
const baseBytes = 64 * mib;

/**
 * Descriptors for everything else: 60 targets with four connections each, the store, peers, the
 * operators' listener (32) and the files of the process.
 */
const ownDescriptors = 320;

/** Rest of the descriptors that callers may use; the others are for further requests to targets. */
const callerDescriptorShare = 2 / 3;

/** Memory of an open connection: 3,000 of them raised the resident memory by 20 MB. */
const connectionBytes = 8_192;

/** Memory of a request that was parsed and has not begun. */
const waitingRequestBytes = 6_144;

/** Largest memory of bodies, as before the machine's memory was known. */
const maxBodyBytes = 32 * mib;

/** Smallest number of connections, so that a very small machine serves callers at all. */
const minConnections = 64;

/**
 * Derives the bounds from the machine. A gateway in service has some hundred connections, and about
 * two thousand while others are away; the smallest machines of the sites (88 MB with 4,100
 * descriptors) allow more than that.
 */
export function deriveLimits({ memoryBytes, descriptors }: Machine): DerivedLimits {
  const spareBytes = Math.max(memoryBytes / 8, memoryBytes - baseBytes);
  const byDescriptors = (descriptors - ownDescriptors) * callerDescriptorShare;
  return {
    maxConnections: Math.floor(
      Math.max(minConnections, Math.min(byDescriptors, spareBytes / connectionBytes)),
    ),
    maxWaitingRequests: Math.floor(spareBytes / 16 / waitingRequestBytes),
    maxHeadBytes: Math.floor(spareBytes / 16),
    maxUnparsedBytes: Math.floor(spareBytes / 16),
    maxUnreadBytes: Math.floor(spareBytes / 8),
    maxBodyBytes: Math.floor(Math.min(maxBodyBytes, spareBytes / 4)),
    maxResponseBytes: Math.floor(Math.min(sharedBytes.targets, spareBytes / 8)),
    pressureBytes: Math.floor(memoryBytes - spareBytes / 4),
  };
}
