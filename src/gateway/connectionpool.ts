import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';

/** Idle connection of any target. */
export interface IdleConnection {
  /** Clock time at which it is closed. */
  readonly expiresAt: number;
  close(): void;
}

/**
 * What happened to connections: `opened` for a request, `reused` for a further request, `lost` when a
 * reused one failed before any byte of the response, `probed` to test whether the target is up.
 */
export type ConnectionEvent = 'opened' | 'reused' | 'lost' | 'probed';

export interface ConnectionPoolOptions {
  /** Most idle connections of the process. */
  readonly maxIdle?: number;
  /** Connections, in use and idle, that this process may keep to one target of a service. */
  share?(service: string): number;
  /** Called for each event of a connection to a target. */
  onEvent?(event: ConnectionEvent): void;
}

/** State that the connections to all targets share. */
export interface ConnectionPool extends Disposable {
  readonly idleCount: number;
  record(event: ConnectionEvent): void;
  share(service: string): number;
  /** Records that a target in a data centre sent bytes or accepted a connection. */
  observeContact(dataCentre: string): void;
  /** Time since the last contact with any target there, in milliseconds. */
  sinceContactMs(dataCentre: string): number;
  /** Records that a target of a service answered on a connection that was idle for this long. */
  observeReuse(service: string, idleMs: number): void;
  /** Longest idle time after which a connection to a target of the service worked; 0 if unknown. */
  workedAfterMs(service: string): number;
  /** Closes the connection that has been idle longest when there are too many. */
  add(connection: IdleConnection): void;
  delete(connection: IdleConnection): void;
}

/**
 * Default of the most idle connections of a process: a quarter of 2,048 descriptors, so that callers
 * and requests in flight keep the others.
 */
const defaultMaxIdle = 512;

/** Time between two searches for connections that have been idle for too long. */
const sweepIntervalMs = 250;

export function createConnectionPool(
  clock: Clock,
  { maxIdle = defaultMaxIdle, share, onEvent }: ConnectionPoolOptions = {},
): ConnectionPool {
  /** Longest idle first. */
  const idle = new Set<IdleConnection>();
  const workedAfter = new Map<string, number>();
  const contacts = new Map<string, number>();
  let timer: Disposable | undefined;

  const sweep = (): void => {
    timer = undefined;
    const now = clock.now();
    for (const connection of [...idle]) {
      if (connection.expiresAt > now) continue;
      idle.delete(connection);
      connection.close();
    }
    if (idle.size > 0) timer = clock.setTimer(sweepIntervalMs, sweep);
  };

  return {
    get idleCount() {
      return idle.size;
    },
    record: (event) => onEvent?.(event),
    share: (service) => share?.(service) ?? Infinity,
    observeContact: (dataCentre) => contacts.set(dataCentre, clock.now()),
    sinceContactMs: (dataCentre) => clock.now() - (contacts.get(dataCentre) ?? -Infinity),
    observeReuse: (service, idleMs) =>
      workedAfter.set(service, Math.max(idleMs, workedAfter.get(service) ?? 0)),
    workedAfterMs: (service) => workedAfter.get(service) ?? 0,
    add(connection) {
      idle.add(connection);
      timer ??= clock.setTimer(sweepIntervalMs, sweep);
      if (idle.size <= maxIdle) return;
      const [longestIdle] = idle;
      if (!longestIdle) return;
      idle.delete(longestIdle);
      longestIdle.close();
    },
    delete: (connection) => idle.delete(connection),
    dispose() {
      timer?.dispose();
      for (const connection of [...idle]) connection.close();
      idle.clear();
    },
  };
}
