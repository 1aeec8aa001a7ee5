import { type CancellationToken } from '../base/cancellation.js';

/** Pairs of header name and value; names are in lower case. */
export type HeaderList = readonly (readonly [string, string])[];

/** A request to a plain service. */
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
 * Client of a plain service. `send` rejects with `TargetRefusedError` only when no connection was
 * established, so the call certainly did not run. After any other error the outcome is unknown.
 */
export interface ServicePort {
  send(req: ServiceRequest, token: CancellationToken): Promise<ServiceResponse>;
}
