import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type WireProtocol } from '../ports/wire.js';

/**
 * Responses that the gateway makes itself. With `failed` and `timed-out` the request may have run;
 * all others mean that no target has run it.
 */
export type LocalResponse =
  | 'not-ready'
  | 'no-host'
  | 'no-target'
  | 'overloaded'
  | 'exceeds-memory'
  | 'quarantined'
  | 'body-timeout'
  | 'team-limit'
  | 'unknown-key'
  | 'unknown-route'
  | 'too-large'
  | 'failed'
  | 'timed-out';

interface LocalResponseSpec {
  readonly status: number;
  /** The response may have a Retry-After header, after which callers may retry. */
  readonly isRetryable: boolean;
  readonly remedy: string;
}

/** Status and remedy of each local response. */
export const localResponses: Readonly<Record<LocalResponse, LocalResponseSpec>> = {
  'not-ready': { status: 503, isRetryable: true, remedy: 'starting or stopping; retry elsewhere' },
  'no-host': { status: 400, isRetryable: false, remedy: 'send a Host header' },
  'no-target': { status: 503, isRetryable: true, remedy: 'no target is usable; retry later' },
  overloaded: { status: 503, isRetryable: true, remedy: 'the service is full; retry later' },
  'exceeds-memory': {
    status: 503,
    isRetryable: false,
    remedy: 'the prompt and its output need more memory than an engine has; shorten them',
  },
  quarantined: {
    status: 503,
    isRetryable: true,
    remedy: 'engines crashed under this request or a part of its prompt; send another one',
  },
  'body-timeout': { status: 408, isRetryable: false, remedy: 'send the body without pauses' },
  'team-limit': {
    status: 429,
    isRetryable: true,
    remedy: "the team's rate limit is used up; retry later or ask for a higher limit",
  },
  'unknown-key': { status: 401, isRetryable: false, remedy: 'send a valid key' },
  'unknown-route': { status: 404, isRetryable: false, remedy: 'use a path of the configuration' },
  'too-large': { status: 413, isRetryable: false, remedy: 'send a smaller body' },
  failed: { status: 502, isRetryable: false, remedy: 'the request may have run' },
  'timed-out': { status: 504, isRetryable: false, remedy: 'the request may have run' },
};

/** Writes the response of one target; ignored once another target has the response. */
export interface ResponseWriter {
  /**
   * Sends the head of the target's response, unless the stream that this target goes on with has begun.
   * The length of a stream is left out, because another target may go on with it. Returns false
   * when the caller has a part of another target's response, which this one can't complete.
   */
  begin(res: IncomingMessage, isStream: boolean): boolean;
  /** Returns false when the caller reads too slowly; `onDrain` reports when it has caught up. */
  write(chunk: Buffer): boolean;
  onDrain(listener: () => void): void;
  end(): void;
}

/** Response to one request of a caller. */
export interface CallerResponse {
  readonly hasStarted: boolean;
  /** The whole response was passed to Node.js, or it was aborted on purpose. */
  readonly isFinished: boolean;
  /** Bytes of the body that were passed to Node.js. */
  readonly bodyBytes: number;
  /** Status that was sent to the caller, 0 before the head. */
  readonly status: number;
  /**
   * Creates the writer of one target. `resumesAfter` is the id of the last event that the caller has
   * and after which the target was asked to go on; undefined for a run from the beginning.
   */
  openWriter(resumesAfter: string | undefined): ResponseWriter;
  /** True when a target that goes on after the event could still complete the response. */
  mayResumeAfter(lastEventId: string | undefined): boolean;
  /** Ends a started response so that it does not look complete. */
  abort(): void;
  /** Sends a response that the gateway makes itself, unless one has started. */
  sendLocal(kind: LocalResponse, retryAfterMs?: number): void;
}

export function createCallerResponse(
  res: ServerResponse,
  protocol: WireProtocol,
  requestId: string,
): CallerResponse {
  let hasStarted = false;
  let isFinished = false;
  let isStream = false;
  let bodyBytes = 0;
  let owner: ResponseWriter | undefined;

  const mayResumeAfter = (lastEventId: string | undefined): boolean =>
    !hasStarted || (isStream && lastEventId !== undefined);

  const openWriter = (resumesAfter: string | undefined): ResponseWriter => {
    const writer: ResponseWriter = {
      begin(targetRes, isStreamOfTarget) {
        if (owner === writer) return true;
        if (isFinished || !mayResumeAfter(resumesAfter)) return false;
        if (hasStarted && !isStreamOfTarget) return false;
        if (hasStarted) {
          owner = writer;
          return true;
        }
        const headers = protocol.toCaller(targetRes.rawHeaders);
        const length = targetRes.headers['content-length'];
        // A response without a length is sent chunked, so that the caller can recognise its end.
        if (length !== undefined && !isStreamOfTarget) headers.push('Content-Length', length);
        res.writeHead(targetRes.statusCode ?? 502, headers);
        // Only now, because `writeHead` throws for a malformed head; the caller has nothing then.
        owner = writer;
        hasStarted = true;
        isStream = isStreamOfTarget;
        return true;
      },
      // A caller that disconnected reads nothing; the response must not wait for it.
      write(chunk) {
        if (owner !== writer || res.destroyed) return true;
        bodyBytes += chunk.length;
        return res.write(chunk);
      },
      onDrain: (listener) => res.once('drain', listener),
      end() {
        if (isFinished || owner !== writer) return;
        isFinished = true;
        res.end();
      },
    };
    return writer;
  };

  return {
    get hasStarted() {
      return hasStarted;
    },
    get isFinished() {
      return isFinished;
    },
    get bodyBytes() {
      return bodyBytes;
    },
    get status() {
      return hasStarted ? res.statusCode : 0;
    },
    openWriter,
    mayResumeAfter,
    abort() {
      if (isFinished) return;
      isFinished = true;
      res.destroy();
    },
    sendLocal(kind, retryAfterMs) {
      if (hasStarted || isFinished) return;
      hasStarted = true;
      isFinished = true;
      const { status, isRetryable, remedy } = localResponses[kind];
      const body = Buffer.from(`${JSON.stringify({ error: kind, remedy })}\n`);
      const headers = protocol.localResponse(requestId, isRetryable ? retryAfterMs : undefined);
      headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length));
      res.writeHead(status, headers);
      res.end(body);
    },
  };
}
