import { type IncomingMessage } from 'node:http';
import { isCloseDelimited } from '../base/responseend.js';
import { findHeadFault } from '../base/responsehead.js';
import { type TargetHead } from '../ports/wire.js';

/** Type and subtype of a content type, without its parameters. */
const mediaTypeOf = (contentType: string | undefined): string | undefined =>
  contentType?.split(';', 1)[0]?.trim().toLowerCase();

/** What is known of a request when the head of a response to it arrives. */
export interface ResponseContext {
  readonly requestId: string;
  /** An earlier request was sent on the same connection. */
  readonly isReused: boolean;
  /** Content type of the events that the caller already has; undefined before the first one. */
  readonly begunType: string | undefined;
}

/**
 * Returns why a response can't be the answer to its request; undefined when it can. A faulty target
 * may send an earlier response again on a connection that is in use for another request.
 */
export function responseFault(
  head: TargetHead,
  res: Pick<IncomingMessage, 'headers' | 'rawHeaders' | 'statusCode'>,
  { requestId, isReused, begunType }: ResponseContext,
): string | undefined {
  const headFault = findHeadFault(res);
  if (headFault !== undefined) return headFault;
  if (head.requestId !== undefined && head.requestId !== requestId)
    return 'response belongs to another request';
  if (head.requestId === undefined && isReused)
    return 'response on a reused connection does not name its request';
  if (head.isEncoded) return 'response has a content encoding';
  const isSuccess = (res.statusCode ?? 0) < 300;
  const mediaType = mediaTypeOf(res.headers['content-type']);
  if (isSuccess && begunType !== undefined && mediaType !== mediaTypeOf(begunType))
    return 'response does not go on with the stream, its content type differs';
  return undefined;
}

/**
 * True when the end of the connection was the only sign of the end of a response and nothing of its
 * body arrived. A target that stops just after the head can't be told from one that is done.
 */
export function isEndUnknown(
  res: Pick<IncomingMessage, 'headers' | 'statusCode'>,
  method: string,
  bodyBytes: number,
): boolean {
  const hasNoBody = method === 'HEAD' || res.statusCode === 204;
  return bodyBytes === 0 && !hasNoBody && isCloseDelimited(res);
}
