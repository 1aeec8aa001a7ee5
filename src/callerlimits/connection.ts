import { type IncomingMessage } from 'node:http';
import { type Socket } from 'node:net';
import { type PacedReader } from './pacedreader.js';
import { type Turn } from './turns.js';

/** Why a connection of a caller was closed, or its requests were not read on. */
export type CloseReason =
  | 'connections'
  | 'head-bytes'
  | 'head-time'
  | 'no-request'
  | 'heads'
  | 'unparsed'
  | 'memory'
  | 'waiting';

/** Limits of the configuration. */
export interface HeadLimits {
  readonly maxHeaderBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** What callers make the process hold. */
export interface HeldByCallers {
  /** Number of open connections. */
  readonly size: number;
  /** Bytes of incomplete heads and of bytes that were not parsed. */
  readonly heldBytes: number;
  /** Requests that wait for an earlier one of their connection. */
  readonly waitingRequests: number;
  /** Bytes of complete responses that have not left the process. */
  readonly unreadBytes: number;
}

/** A request of a connection, until its response has left the process. */
export interface AdmittedRequest extends Turn {
  /** Records that the request is given to a target from now on. */
  begin(): void;
}

/**
 * Length in bytes of the parts in which a read is parsed: with nothing in progress, while a body is
 * read, and while requests wait. A request takes at least 16 bytes, so the bounds of requests are
 * exceeded by at most 64 in a part. Heads of callers are shorter than the first length.
 */
export const firstPartBytes = 1_024;
export const bodyPartBytes = 4_096;
export const waitingPartBytes = 512;

/** Open connection of a caller. */
export interface Connection {
  readonly socket: Socket;
  reader: PacedReader | undefined;
  /** Admitted requests that have not ended. */
  readonly requests: Set<AdmittedRequest>;
  newest: IncomingMessage | undefined;
  begun: number;
  /** Bytes since the last request that belong to no complete head. */
  headBytes: number;
  headSince: number;
  /** A check found the head late; the next one closes the connection. */
  isLate: boolean;
  hadRequest: boolean;
  hasNewRequest: boolean;
  /** The part that is parsed began within a body. */
  isWithinBody: boolean;
  idleSince: number;
  isStopped: boolean;
  lastTurn: Turn | undefined;
}

export const createConnection = (socket: Socket, now: number): Connection => ({
  socket,
  reader: undefined,
  requests: new Set(),
  newest: undefined,
  begun: 0,
  headBytes: 0,
  headSince: 0,
  isLate: false,
  hadRequest: false,
  hasNewRequest: false,
  isWithinBody: false,
  idleSince: now,
  isStopped: false,
  lastTurn: undefined,
});

/** True while the body of the newest request is not complete. */
export const isBodyOpen = ({ newest }: Connection): boolean =>
  newest !== undefined && !newest.complete;

/** Largest length of the next part of a read that is parsed. */
export function partBytesOf(connection: Connection): number {
  if (isBodyOpen(connection)) return bodyPartBytes;
  return connection.requests.size === 0 ? firstPartBytes : waitingPartBytes;
}

/** Bytes of empty lines that some clients send behind a body; they begin no request. */
const strayBytes = 4;

/** True when no request is in progress and none has begun to arrive. */
export const isIdle = ({ requests, headBytes }: Connection): boolean =>
  requests.size === 0 && headBytes <= strayBytes;

/** Connections of one state that may be closed; the first states are the least useful ones. */
export const closableStates: readonly ((connection: Connection) => boolean)[] = [
  (connection) => isIdle(connection) && !connection.hadRequest,
  isIdle,
  ({ requests }) => requests.size === 0,
  ({ begun }) => begun === 0,
];

/**
 * Connections that may be closed for lack of memory: no caller inside the limits has them for long.
 * Heads that began to arrive after `since` may just be on their way.
 */
export const pressedStates = (since: number): typeof closableStates => [
  (connection) =>
    connection.requests.size === 0 && !isIdle(connection) && connection.headSince <= since,
  ({ requests, begun }) => requests.size > 1 && begun === 0,
];
