import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { CancelledError, errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type Row, type RowFeedPort } from '../ports/rows.js';

/** Rows that a watched table sends to its listener. */
export interface RowChange {
  readonly rows: readonly Row[];
  /** All rows of the table; keys that are missing no longer exist. */
  readonly isSnapshot: boolean;
}

/** Follows one table. */
export interface TableWatch extends Disposable {
  /** True once the table was read. */
  readonly isSynced: boolean;
  /** Time since the store last confirmed the state, in milliseconds; Infinity before the first read. */
  ageMs(): number;
  /** Time since a call last failed, in milliseconds; Infinity when none has. */
  sinceFailureMs(): number;
  /** Version of the newest change of a row; undefined before the first read. */
  readonly changedAt: number | undefined;
  /** Another process saw a change at this version; asks again if this one does not hear of it. */
  expect(version: number): void;
}

export interface TableWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly feed: RowFeedPort;
  readonly table: string;
  /** How long the next call waits for changes. */
  waitMs(): number;
  /** Pause after a change, so that changes that come together are read together. */
  pauseMs?(): number;
  onChange(change: RowChange): void;
}

/** First and longest delay before a failed call is repeated; the store is back within seconds. */
const minRetryMs = 100;

const maxRetryMs = 400;

/**
 * Time in which an open call tells of a change that another process has seen. The store tells all
 * within a few milliseconds; a call that is silent for longer hangs on a connection that is gone.
 */
const expectGraceMs = 250;

/**
 * Time of a call beyond its wait from which its answer counts as too large for the link. The changes
 * of a table since an outage can be many times larger than the table.
 */
const slowAnswerMs = 800;

/** Reads a table and follows its changes for as long as the watch is not disposed. */
export function watchTable(options: TableWatchOptions): TableWatch {
  const { clock, random, log, feed, table, onChange } = options;
  const source = createCancellationSource();
  let position: number | undefined;
  let changedAt: number | undefined;
  let expected = -Infinity;
  let openCall = createCancellationSource();
  /** The open call began when this process knew that it was behind, so it is answered at once. */
  let isCatchingUp = false;
  /** Changes did not arrive in time, so the table is read whole. */
  let isTooSlow = false;
  let graceTimer: Disposable | undefined;
  let confirmedAt = -Infinity;
  let failedAt = -Infinity;
  let failures = 0;

  const confirm = (): void => {
    confirmedAt = clock.now();
    if (failures > 0) log.info({ table, failures }, 'store answers again');
    failures = 0;
  };

  const noteChanges = (rows: readonly Row[]): void => {
    for (const { version } of rows) changedAt = Math.max(changedAt ?? version, version);
  };

  const isBehind = (): boolean => position !== undefined && position < expected;

  /** A call that began before the change was known should have told of it. */
  const mayBeSilent = (): boolean => isBehind() && failures === 0 && !isCatchingUp;

  const step = async (token: CancellationToken): Promise<void> => {
    openCall = createCancellationSource();
    if (position === undefined || isTooSlow) {
      const { rows, version } = await feed.list(table, token);
      confirm();
      isTooSlow = false;
      position = version;
      noteChanges(rows);
      onChange({ rows, isSnapshot: true });
      return;
    }
    // A store that was away is asked briefly, so that its return is not missed by a long wait.
    const link = token.onCancellationRequested((reason) => openCall.cancel(reason));
    // There is a change that this process has not seen, so the answer comes at once.
    isCatchingUp = isBehind();
    const waitMs = failures > 0 || isCatchingUp ? 0 : options.waitMs();
    const startedAt = clock.now();
    const result = await feed
      .changes(table, position, waitMs, openCall.token)
      .catch((err: unknown) => {
        isTooSlow = clock.now() - startedAt - waitMs >= slowAnswerMs;
        throw err;
      })
      .finally(() => {
        link.dispose();
        isCatchingUp = false;
      });
    confirm();
    if (result === 'history-lost') {
      log.warn({ table, position }, 'store dropped its history; the table is read again');
      position = undefined;
      return;
    }
    position = Math.max(position, result.version);
    // The store's word goes before a peer's, which may come from a store that started anew.
    expected = Math.min(expected, position);
    if (result.rows.length === 0) return;
    noteChanges(result.rows);
    onChange({ rows: result.rows, isSnapshot: false });
    const pauseMs = options.pauseMs?.() ?? 0;
    if (pauseMs > 0) await sleep(clock, pauseMs, token);
  };

  const run = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      try {
        await step(token);
      } catch (err) {
        if (token.isCancellationRequested) return;
        // Asked again at once, over a new connection.
        if (openCall.token.isCancellationRequested) continue;
        if (err instanceof CancelledError) return;
        failedAt = clock.now();
        failures += 1;
        if (failures === 1) {
          const ageMs = Math.round(clock.now() - confirmedAt);
          log.warn({ table, ageMs, err: errMessage(err) }, 'store does not answer; retrying');
        }
        const delayMs = minRetryMs + fullJitter(random, minRetryMs, maxRetryMs, failures);
        await sleep(clock, delayMs, token).catch(() => undefined);
      }
    }
  };

  run(source.token).catch((err: unknown) => {
    log.error({ table, err: errMessage(err) }, 'table watch ended; restart the process');
  });

  return {
    get isSynced() {
      return confirmedAt !== -Infinity;
    },
    ageMs: () => clock.now() - confirmedAt,
    sinceFailureMs: () => clock.now() - failedAt,
    get changedAt() {
      return changedAt;
    },
    expect(version) {
      expected = Math.max(expected, version);
      if (!mayBeSilent() || graceTimer) return;
      graceTimer = clock.setTimer(expectGraceMs + (options.pauseMs?.() ?? 0), () => {
        graceTimer = undefined;
        if (!mayBeSilent()) return;
        log.warn({ table, position, expected }, 'store is silent about a change; asking again');
        openCall.cancel('another process saw a change');
      });
    },
    dispose() {
      graceTimer?.dispose();
      source.cancel('watch closed');
    },
  };
}
