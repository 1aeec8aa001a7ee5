import { type CancellationToken } from '../base/cancellation.js';

/** Object store of the platform. Errors are those of `TablePort`. */
export interface ObjectPort {
  put(key: string, body: Uint8Array, token: CancellationToken): Promise<void>;
  get(key: string, token: CancellationToken): Promise<Uint8Array | undefined>;
}
