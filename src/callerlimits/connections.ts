import { type IncomingMessage, type Server } from 'node:http';
import { type Socket } from 'node:net';
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { closeSoon } from './closesoon.js';
import { type DerivedLimits } from './derivedlimits.js';
import {
  type AdmittedRequest,
  type CloseReason,
  type HeadLimits,
  type HeldByCallers,
  isIdle,
  bodyPartBytes,
  closableStates,
  type Connection,
  createConnection,
  firstPartBytes,
  isBodyOpen,
  partBytesOf,
  pressedStates,
  waitingPartBytes,
} from './connection.js';
import { createEventLog } from './eventlog.js';
import { paceReader } from './pacedreader.js';
import { createTurns } from './turns.js';

/** Connections of callers, with bounds on what they make the process hold. */
export interface CallerConnections extends HeldByCallers, Disposable {
  /** Applies the limits of a configuration to later connections and heads. */
  configure(limits: HeadLimits): void;
  /**
   * Records a request that was parsed. Returns undefined when its connection is being closed and the
   * request is not to be served.
   */
  admit(req: IncomingMessage): AdmittedRequest | undefined;
  /** Reads no further requests from the connection; those that were admitted are served. */
  stopReading(socket: Socket): void;
  /** Stops waiting for turns: requests that wait learn that theirs does not come. */
  endTurns(): void;
}

export interface CallerConnectionsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly limits: DerivedLimits;
  /** Largest head until a configuration sets one. */
  readonly maxHeaderBytes: number;
  /** Resident memory of the process in bytes. */
  readResidentBytes(): number;
  /** Responds to a request whose head is not accepted, and closes its connection. */
  rejectHead(socket: Socket, status: 408 | 431): void;
  onClosed(reason: CloseReason): void;
}

/**
 * Requests that are read from one connection while an earlier one is served. Callers that pipeline
 * send a few; 40 with unread responses are served (test/daemon/slowreaders.test.ts).
 */
const maxReadAhead = 64;

/** Interval of the checks of time and memory; a tenth of a usual `headerTimeoutMs`. */
const checkIntervalMs = 250;

/** Share of the connections that are closed at once at a bound, so that each accept need not search. */
const closedShare = 1 / 64;

/** Share of the connections that a check closes for lack of memory, so that the next one sees its effect. */
const pressedShare = 1 / 8;

/** Heads are rejected by the parser; the rest of its last part may follow a complete request. */
const headSlackBytes = bodyPartBytes;

/** Bounds the connections of a server; `options.limits` hold for all of them together. */
export function limitConnections(
  server: Server,
  options: CallerConnectionsOptions,
): CallerConnections {
  const { clock, log, limits, maxHeaderBytes, readResidentBytes, rejectHead, onClosed } = options;
  const connections = new Map<Socket, Connection>();
  const events = createEventLog(clock, log, 'connections of callers were closed at a limit');
  let headLimits: HeadLimits | undefined;
  let headBytes = 0;
  let unparsedBytes = 0;
  const turns = createTurns(limits.maxUnreadBytes);
  let isPressed = false;

  const report = (reason: CloseReason): void => {
    onClosed(reason);
    events.record(reason);
  };

  const setHeadBytes = (connection: Connection, bytes: number): void => {
    if (connection.headBytes === 0 && bytes > 0) connection.headSince = clock.now();
    if (bytes === 0) connection.isLate = false;
    headBytes += bytes - connection.headBytes;
    connection.headBytes = bytes;
  };

  const close = (connection: Connection, reason: CloseReason): void => {
    report(reason);
    connection.socket.destroy();
    forget(connection);
  };

  function forget(connection: Connection): void {
    if (!connections.delete(connection.socket)) return;
    setHeadBytes(connection, 0);
    for (const request of [...connection.requests]) request.end();
  }

  /** Closes up to `count` connections, the least useful ones first; returns how many it closed. */
  const closeLeastUseful = (
    count: number,
    reason: CloseReason,
    states = closableStates,
  ): number => {
    let left = count;
    for (const isInState of states) {
      for (const connection of [...connections.values()]) {
        if (left <= 0) return count;
        if (!isInState(connection)) continue;
        close(connection, reason);
        left -= 1;
      }
    }
    return count - left;
  };

  const stopReading = (connection: Connection): void => {
    connection.isStopped = true;
    connection.reader?.stop();
    setHeadBytes(connection, 0);
    if (connection.requests.size === 0) closeSoon(clock, connection.socket);
  };

  const onParsed = (connection: Connection, bytes: number): void => {
    if (connection.isStopped || !connections.has(connection.socket)) return;
    const { hasNewRequest, isWithinBody } = connection;
    connection.hasNewRequest = false;
    setHeadBytes(connection, hasNewRequest || isWithinBody ? 0 : connection.headBytes + bytes);
    const maxBytes = (headLimits?.maxHeaderBytes ?? maxHeaderBytes) + headSlackBytes;
    if (connection.headBytes > maxBytes) {
      report('head-bytes');
      reject(connection, 431);
    } else if (headBytes > limits.maxHeadBytes) {
      closeLeastUseful(1, 'heads', [(other) => other.headBytes >= firstPartBytes]);
    }
  };

  function reject(connection: Connection, status: 408 | 431): void {
    connection.isStopped = true;
    connection.reader?.stop();
    setHeadBytes(connection, 0);
    if (connection.requests.size > 0) return;
    rejectHead(connection.socket, status);
    closeSoon(clock, connection.socket);
  }

  const readAhead = (): number =>
    isPressed || turns.waiting >= limits.maxWaitingRequests ? 1 : maxReadAhead;

  const onConnection = (socket: Socket): void => {
    const connection = createConnection(socket, clock.now());
    if (connections.size >= limits.maxConnections) {
      const count = Math.max(1, Math.floor(limits.maxConnections * closedShare));
      if (closeLeastUseful(count, 'connections') === 0) {
        report('connections');
        socket.destroy();
        return;
      }
    }
    connections.set(socket, connection);
    socket.once('close', () => forget(connection));
    connection.reader = paceReader(socket, {
      mayParse: () => isBodyOpen(connection) || connection.requests.size < readAhead(),
      partBytes() {
        connection.isWithinBody = isBodyOpen(connection);
        return partBytesOf(connection);
      },
      onParsed: (bytes) => onParsed(connection, bytes),
      onUnparsed(change) {
        unparsedBytes += change;
        if (change <= 0 || unparsedBytes <= limits.maxUnparsedBytes) return;
        if (isBodyOpen(connection) || connection.requests.size < readAhead()) return;
        report('unparsed');
        stopReading(connection);
      },
    });
  };
  server.on('connection', onConnection);

  const checkTimes = (): void => {
    if (!headLimits) return;
    const now = clock.now();
    for (const connection of [...connections.values()]) {
      const { requests, headSince, hadRequest, idleSince } = connection;
      if (requests.size > 0 || connection.isStopped) continue;
      if (isIdle(connection)) {
        if (hadRequest || now - idleSince < headLimits.idleTimeoutMs) continue;
        close(connection, 'no-request');
      } else if (now - headSince >= headLimits.headerTimeoutMs) {
        // A late process reads once more before it decides.
        if (connection.isLate) {
          report('head-time');
          reject(connection, 408);
        } else connection.isLate = true;
      }
    }
  };

  const checkMemory = (): void => {
    isPressed = readResidentBytes() > limits.pressureBytes;
    if (!isPressed) return;
    closeLeastUseful(
      Math.ceil(connections.size * pressedShare),
      'memory',
      pressedStates(clock.now() - checkIntervalMs),
    );
    for (const connection of [...connections.values()]) {
      if ((connection.reader?.unparsedBytes ?? 0) < waitingPartBytes) continue;
      if (connection.isStopped || connection.requests.size < maxReadAhead / 4) continue;
      report('memory');
      stopReading(connection);
    }
  };

  let timer: Disposable | undefined;
  const check = (): void => {
    checkMemory();
    checkTimes();
    turns.proceed();
    for (const { reader } of connections.values()) reader?.proceed();
    timer = clock.setTimer(checkIntervalMs, check);
  };
  timer = clock.setTimer(checkIntervalMs, check);

  return {
    get size() {
      return connections.size;
    },
    get heldBytes() {
      return headBytes + unparsedBytes;
    },
    get waitingRequests() {
      return turns.waiting;
    },
    get unreadBytes() {
      return turns.unreadBytes;
    },
    configure(next) {
      headLimits = next;
    },
    admit(req) {
      const connection = connections.get(req.socket);
      if (!connection || connection.isStopped) return undefined;
      if (turns.waiting >= 2 * limits.maxWaitingRequests && connection.requests.size > 0) {
        report('waiting');
        stopReading(connection);
        return undefined;
      }
      connection.newest = req;
      connection.hadRequest = true;
      connection.hasNewRequest = true;
      const turn = turns.add(connection.lastTurn);
      connection.lastTurn = turn;
      let hasBegun = false;
      let hasEnded = false;
      const request: AdmittedRequest = {
        wait: turn.wait,
        complete: turn.complete,
        begin() {
          if (!hasBegun && !hasEnded) connection.begun += 1;
          hasBegun = true;
        },
        end() {
          if (hasEnded) return;
          hasEnded = true;
          turn.end();
          connection.requests.delete(request);
          if (hasBegun) connection.begun -= 1;
          connection.idleSince = clock.now();
          if (!connection.isStopped) connection.reader?.proceed();
          else if (connection.requests.size === 0) closeSoon(clock, connection.socket);
        },
      };
      connection.requests.add(request);
      return request;
    },
    stopReading(socket) {
      const connection = connections.get(socket);
      if (connection) stopReading(connection);
    },
    endTurns() {
      turns.endAll();
    },
    dispose() {
      timer?.dispose();
      events.dispose();
      server.off('connection', onConnection);
    },
  };
}
