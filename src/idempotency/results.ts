/**
 * Results that are kept for repeated requests: in the claim row when small, in the object store
 * when larger. A result over the upper bound is recorded as completed without its body.
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

/** A result as the claim row holds it. */
export interface KeptResult {
  readonly status: number;
  readonly headers: HeaderList;
  /** Base64 of a small body. */
  readonly body?: string;
  /** Key of a larger body in the object store. */
  readonly object?: string;
}

/** Keeps results and reads them back. */
export interface ResultKeeper {
  /** Returns undefined when the result can't be kept. */
  keep(
    attemptId: string,
    result: ServiceResult,
    token: CancellationToken,
  ): Promise<KeptResult | undefined>;
  /** Returns undefined when the body is missing; rejects when the object store is down. */
  load(kept: KeptResult, token: CancellationToken): Promise<ServiceResult | undefined>;
}

/** Largest body in a claim row; table services limit an item to a few hundred kilobytes. */
export const maxRowBytes = 65_536;

/** Largest body that is kept at all; it bounds the memory of an entry per running call. */
export const maxResultBytes = 8_388_608;

export function createResultKeeper(log: Logger, objects: ObjectPort | undefined): ResultKeeper {
  return {
    async keep(attemptId, { status, headers, body }, token) {
      if (body.length <= maxRowBytes) {
        return { status, headers, body: Buffer.from(body).toString('base64') };
      }
      if (!objects || body.length > maxResultBytes) return undefined;
      const object = `results/${attemptId}`;
      try {
        await objects.put(object, body, token);
        return { status, headers, object };
      } catch (err) {
        log.warn({ attempt: attemptId, err: errMessage(err) }, 'result could not be kept');
        return undefined;
      }
    },
    async load({ status, headers, body, object }, token) {
      if (body !== undefined) return { status, headers, body: Buffer.from(body, 'base64') };
      const stored = object && objects ? await objects.get(object, token) : undefined;
      return stored && { status, headers, body: stored };
    },
  };
}
