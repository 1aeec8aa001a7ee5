import { type CancellationToken } from '../base/cancellation.js';

/** The platform's object store. Rejects with the same errors as `TablePort`. */
export interface ObjectPort {
  put(key: string, body: Uint8Array, token: CancellationToken): Promise<void>;
  get(key: string, token: CancellationToken): Promise<Uint8Array | undefined>;
}
