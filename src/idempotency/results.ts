/**
 * Stores results for repeated requests: in the claim row when small, in the object store when
 * larger. A call whose result exceeds the upper limit is recorded as completed without a result.
 */
import { type CancellationToken } from '../base/cancellation.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type ObjectPort } from '../ports/objects.js';
import { type HeaderList } from '../ports/service.js';

/** A complete response of a plain service. */
export interface ServiceResult {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Uint8Array;
}

/** A result as stored in the claim row. */
export interface StoredResult {
  readonly status: number;
  readonly headers: HeaderList;
  /** Base64 of a small body. */
  readonly body?: string;
  /** Key of a larger body in the object store. */
  readonly object?: string;
}

export interface ResultStore {
  /** Returns undefined when the result can't be stored. */
  save(
    attemptId: string,
    result: ServiceResult,
    token: CancellationToken,
  ): Promise<StoredResult | undefined>;
  /** Returns undefined when the body is missing; rejects when the object store is down. */
  load(stored: StoredResult, token: CancellationToken): Promise<ServiceResult | undefined>;
}

/** Largest body in a claim row; table services limit an item to a few hundred kilobytes. */
export const maxRowBodyBytes = 65_536;

/** Largest body that is stored; it limits the memory that an entry uses per running call. */
export const maxResultBodyBytes = 8_388_608;

export function createResultStore(log: Logger, objects: ObjectPort | undefined): ResultStore {
  return {
    async save(attemptId, { status, headers, body }, token) {
      if (body.length <= maxRowBodyBytes) {
        return { status, headers, body: Buffer.from(body).toString('base64') };
      }
      if (!objects || body.length > maxResultBodyBytes) return undefined;
      const object = `results/${attemptId}`;
      try {
        await objects.put(object, body, token);
        return { status, headers, object };
      } catch (err) {
        log.warn(
          { attempt: attemptId, err: errMessage(err) },
          'result could not be stored; repeated requests will not receive it',
        );
        return undefined;
      }
    },
    async load({ status, headers, body, object }, token) {
      if (body !== undefined) return { status, headers, body: Buffer.from(body, 'base64') };
      const objectBody = object && objects ? await objects.get(object, token) : undefined;
      return objectBody && { status, headers, body: objectBody };
    },
  };
}
