import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type Clock } from './clock.js';

/** A request of a caller until its response has left the process or its connection is closed. */
export interface ActiveRequest {
  readonly requestId: string;
  /** The response is complete, and bytes of it wait for the caller to read. */
  readonly isFlushing: boolean;
  /** Resolves when the response has left the process or the connection is closed. */
  readonly closed: Promise<void>;
  /** Bytes of the response that were passed to the connection. */
  sentBytes(): number;
}

/** Request as it is named in the log. */
export interface ActiveRequestSummary {
  readonly requestId: string;
  readonly ageMs: number;
  readonly sentBytes: number;
}

export interface ActiveRequests {
  readonly size: number;
  /** Number of requests with `isFlushing`. */
  readonly flushing: number;
  add(requestId: string, req: IncomingMessage, res: ServerResponse): ActiveRequest;
  remove(request: ActiveRequest): void;
  /** The oldest requests that are not flushing. */
  summarize(limit: number): readonly ActiveRequestSummary[];
}

export function createActiveRequests(clock: Clock): ActiveRequests {
  const requests = new Map<ActiveRequest, number>();
  return {
    get size() {
      return requests.size;
    },
    get flushing() {
      let count = 0;
      for (const { isFlushing } of requests.keys()) if (isFlushing) count += 1;
      return count;
    },
    add(requestId, { socket }, res) {
      // `bytesWritten` is undefined once a socket has lost its buffer.
      const passedBytes = (): number => (socket.bytesWritten ?? 0) - socket.writableLength;
      const bytesBefore = passedBytes();
      const request: ActiveRequest = {
        requestId,
        get isFlushing() {
          return res.writableEnded && !res.writableFinished && !res.destroyed;
        },
        // A pipelined response gets its socket late and emits no close event before that.
        closed: new Promise((resolve) => {
          const onClose = (): void => {
            socket.off('close', onClose);
            res.off('close', onClose);
            resolve();
          };
          socket.once('close', onClose);
          res.once('close', onClose);
        }),
        sentBytes: () => Math.max(0, passedBytes() - bytesBefore),
      };
      requests.set(request, clock.now());
      return request;
    },
    remove(request) {
      requests.delete(request);
    },
    summarize(limit) {
      const summaries: ActiveRequestSummary[] = [];
      for (const [request, startedAt] of requests) {
        if (summaries.length >= limit) break;
        if (request.isFlushing) continue;
        const ageMs = Math.round(clock.now() - startedAt);
        summaries.push({ requestId: request.requestId, ageMs, sentBytes: request.sentBytes() });
      }
      return summaries;
    },
  };
}
