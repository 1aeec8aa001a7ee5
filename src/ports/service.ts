import { type CancellationToken } from '../base/cancellation.js';

/** Name and value of a header; names are lower case. */
export type HeaderList = readonly (readonly [string, string])[];

/** A request of a plain service. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderList;
  readonly body: AsyncIterable<Uint8Array>;
}

/** A response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: AsyncIterable<Uint8Array>;
}

/**
 * A plain service. `send` rejects with `TargetRefusedError` only when the connection was
 * refused, so the call certainly did not run. Any other error leaves the outcome unknown.
 */
export interface ServicePort {
  send(req: ServiceRequest, token: CancellationToken): Promise<ServiceResponse>;
}
