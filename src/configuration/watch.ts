import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { CancelledError, errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type Row, type RowFeedPort } from '../ports/rows.js';
import { type StoreEras } from '../storeera/eras.js';
import { eraOf } from '../storeera/version.js';
import { type SharedChanges, type TableSharing } from './sharing.js';
import { verifyRepeatedly } from './verification.js';

/** Rows that a table watch passes to its listener. */
export interface RowChange {
  readonly rows: readonly Row[];
  /** True when `rows` has all rows of the table; keys that are missing no longer exist. */
  readonly isSnapshot: boolean;
  /**
   * Time before this reply in which the rows may have changed, in milliseconds: Infinity for the first
   * snapshot, 0 for changes that the store sends when they happen.
   */
  readonly maxAgeMs: number;
}

export interface TableWatch extends Disposable {
  /** True once the table was read. */
  readonly isSynced: boolean;
  /** Time since the store last confirmed the state, in milliseconds; Infinity before the first read. */
  ageMs(): number;
  /**
   * Time since a call last failed or the store came back from an older copy, in milliseconds; Infinity
   * when neither has happened.
   */
  sinceFailureMs(): number;
  /** Version of the newest change of a row; undefined before the first row was read. */
  readonly newestRowVersion: number | undefined;
  /** Expects a change that another process observed; retries a call that does not return it. */
  expectVersion(version: number): void;
}

export interface TableWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly feed: RowFeedPort;
  readonly table: string;
  /** Eras of the store; absent for one that never comes back from an older copy. */
  readonly eras?: Pick<StoreEras, 'onDidChange'>;
  /** Time that the next call waits for changes. */
  waitMs(): number;
  /** Pause after a change, so that changes in quick succession are read together. */
  pauseMs?(): number;
  /**
   * Time until the table is read next to verify that the feed has reported all changes. A feed may
   * reply in time and leave a change out, or be on a silent connection. Never verified when absent.
   */
  verifyMs?(): number;
  /** Changes that other processes read. Each process reads for itself when absent. */
  readonly sharing?: TableSharing | undefined;
  /** Rows of which it throws are read again. */
  onChange(change: RowChange): void;
  /** Called when the feed has not reported a change that the store has. */
  onMissedChange?(): void;
}

/**
 * Fixed part of the delay before a retry, and base and limit of its random part. They are short
 * because the store is available again within seconds.
 */
const minRetryMs = 100;

const maxRetryMs = 400;

/**
 * Time in which an open call should return a change that another process has observed. The store
 * replies to all open calls within a few milliseconds; a slower call is on a dead connection.
 */
const expectedChangeTimeoutMs = 250;

/**
 * Time beyond its wait after which the reply of a failed call counts as too large for the link. The
 * changes of a table since an outage can be many times larger than the table.
 */
const slowReplyMs = 800;

/** Interval at which a process that follows others checks whether it has to read by itself. */
const followCheckMs = 100;

/**
 * Time in which a change that peers told of should arrive from a process that reads the table, in
 * one of its messages; then this process reads it from the store.
 */
const sharedChangeTimeoutMs = 300;

/** Delay before rows are read again that the listener could not apply. */
const listenerRetryMs = 1_000;

/** Reads a table and then its changes until the watch is disposed. */
export function watchTable(options: TableWatchOptions): TableWatch {
  const { clock, random, log, feed, table } = options;
  const source = createCancellationSource();
  let position: number | undefined;
  let newestRowVersion: number | undefined;
  /** All changes up to this version were read. The feed's position may be past a change it left out. */
  let completeVersion = -Infinity;
  /** Versions of the rows that were read, by key. */
  const rowVersions = new Map<string, number>();
  let expected = -Infinity;
  let openCallSource = createCancellationSource();
  /** The open call began after a newer version was reported, so the store replies at once. */
  let isCatchingUp = false;
  /** The connection of the last call may be silent, so the next one expects a reply at once. */
  let isConnectionSuspect = false;
  /** The changes did not arrive in time or completely, so the whole table is read. */
  let shouldReadWholeTable = false;
  let expectTimer: Disposable | undefined;
  let confirmedAt = -Infinity;
  /** When this process last had all rows; a reply without the history confirms no rows. */
  let completeAt = -Infinity;
  let historyLostAt = -Infinity;
  let failedAt = -Infinity;
  let failures = 0;
  /** Waits for changes that other processes read, so none of its own calls is open. */
  let isFollowing = false;
  let behindSince: number | undefined;

  const recordSuccess = (): void => {
    confirmedAt = clock.now();
    if (failures > 0) log.info({ table, failures }, 'store replies again');
    failures = 0;
  };

  const logMalformedRows = (malformedRows: number | undefined): void => {
    if (malformedRows !== undefined)
      log.warn({ table, malformedRows, position }, 'ignoring rows that could not be decoded');
  };

  const updateNewestRowVersion = (rows: readonly Row[]): void => {
    for (const { version } of rows)
      newestRowVersion = Math.max(newestRowVersion ?? version, version);
  };

  const recordRows = ({ rows, isSnapshot }: Pick<RowChange, 'rows' | 'isSnapshot'>): void => {
    if (isSnapshot) rowVersions.clear();
    for (const { key, value, version } of rows) {
      if (value === undefined) rowVersions.delete(key);
      else rowVersions.set(key, version);
    }
    updateNewestRowVersion(rows);
  };

  /** Reads the rows again later if the listener fails, so that one bad row does not lose the others. */
  const notify = async (change: RowChange, token: CancellationToken): Promise<void> => {
    recordRows(change);
    try {
      options.onChange(change);
    } catch (err) {
      log.error({ table, position, err }, 'failed to apply rows of the table; they are read again');
      shouldReadWholeTable = true;
      await sleep(clock, listenerRetryMs, token);
    }
  };

  const isBehind = (): boolean => position !== undefined && completeVersion < expected;

  const reportMissedChange = (): void => {
    log.warn(
      { table, position, expected, completeVersion },
      'feed left out a change; reading the table',
    );
    shouldReadWholeTable = true;
    options.onMissedChange?.();
  };

  /** True when the open call began before the expected change was reported and should return it. */
  const isAwaitingExpectedChange = (): boolean => isBehind() && failures === 0 && !isCatchingUp;

  /** True for a version of an era in which this table was not read before. */
  const isOfAnotherEra = (version: number): boolean =>
    completeVersion !== -Infinity && eraOf(version) !== eraOf(completeVersion);

  const logRestoredTable = (rows: readonly Row[], version: number): void => {
    const keys = new Set(rows.map(({ key }) => key));
    const removed = [...rowVersions.keys()].filter((key) => !keys.has(key)).length;
    const added = rows.filter(({ key }) => !rowVersions.has(key)).length;
    const fields = { table, previousVersion: completeVersion, version, added, removed };
    log.info(fields, 'table was read again from an older copy');
  };

  const readOnce = async (token: CancellationToken): Promise<void> => {
    openCallSource = createCancellationSource();
    if (position === undefined || shouldReadWholeTable) {
      const isFirst = completeAt === -Infinity;
      const { rows, version, malformedRows } = await feed.list(table, token);
      const isRestored = isOfAnotherEra(version);
      if (isRestored) logRestoredTable(rows, version);
      const maxAgeMs = clock.now() - completeAt;
      recordSuccess();
      completeAt = clock.now();
      shouldReadWholeTable = false;
      position = version;
      completeVersion = version;
      // The store's version overrides a peer's, which may come from a store that started anew.
      expected = Math.min(expected, version);
      logMalformedRows(malformedRows);
      // Others lack the same changes if all rely on one feed that left them out.
      const isNew = (row: Row): boolean => (rowVersions.get(row.key) ?? -1) < row.version;
      const missed = isFirst || isRestored ? [] : rows.filter(isNew);
      if (!malformedRows) options.sharing?.publish({ from: version, to: version, rows: missed });
      await notify({ rows, isSnapshot: true, maxAgeMs }, token);
      const settleMs = options.sharing?.settleMs() ?? 0;
      if (settleMs > 0) await sleep(clock, settleMs, token);
      return;
    }
    const link = token.onCancellationRequested((reason) => openCallSource.cancel(reason));
    // When there is a change that this process has not read, the reply comes at once.
    isCatchingUp = isBehind();
    // After a failure the call does not wait, so that a recovered store is detected early.
    const expectsReply = failures > 0 || isCatchingUp || isConnectionSuspect;
    const waitMs = expectsReply ? 0 : options.waitMs();
    isConnectionSuspect = false;
    const startedAt = clock.now();
    const from = position;
    const result = await feed
      .changes(table, position, waitMs, openCallSource.token)
      .catch((err: unknown) => {
        shouldReadWholeTable ||= clock.now() - startedAt - waitMs >= slowReplyMs;
        throw err;
      })
      .finally(() => {
        link.dispose();
        isCatchingUp = false;
      });
    const maxAgeMs = failures > 0 ? clock.now() - completeAt : 0;
    recordSuccess();
    if (result === 'history-lost') {
      log.warn({ table, position }, 'store dropped its history; the table is read again');
      // Pauses when the table was read for the same reason just before.
      if (clock.now() - historyLostAt < maxRetryMs) await sleep(clock, maxRetryMs, token);
      historyLostAt = clock.now();
      position = undefined;
      return;
    }
    completeAt = clock.now();
    position = Math.max(position, result.version);
    if (result.version >= from && !result.malformedRows)
      options.sharing?.publish({ from, to: result.version, rows: result.rows });
    for (const { version } of result.rows) completeVersion = Math.max(completeVersion, version);
    // The store's version overrides a peer's, which may come from a store that started anew.
    if (result.version < expected) expected = completeVersion;
    if (isBehind()) reportMissedChange();
    logMalformedRows(result.malformedRows);
    if (result.rows.length === 0) return;
    // A message of another process may have brought a newer version of a row meanwhile.
    const isOutdated = ({ key, version }: Row): boolean => version < (rowVersions.get(key) ?? -1);
    const rows = result.rows.filter((row) => !isOutdated(row));
    await notify({ rows, isSnapshot: false, maxAgeMs }, token);
    const pauseMs = options.pauseMs?.() ?? 0;
    if (pauseMs > 0) await sleep(clock, pauseMs, token);
  };

  const isUnknown = ({ key, version, value }: Row): boolean => {
    const known = rowVersions.get(key);
    return known === undefined ? value !== undefined : version > known;
  };

  /** Applies changes that another process read; false when this process lacks earlier ones. */
  const applyShared = ({ from, to, rows }: SharedChanges): boolean => {
    if (position === undefined || shouldReadWholeTable || from > position || to < position)
      return false;
    const maxAgeMs = clock.now() - completeAt;
    // Rows that the others' feed left out are older than the position.
    const changed = rows.filter(isUnknown);
    for (const { version } of changed) completeVersion = Math.max(completeVersion, version);
    // The reply to an open call confirms the position of this process.
    if (isFollowing) {
      recordSuccess();
      completeAt = clock.now();
      position = to;
    }
    if (changed.length > 0)
      notify({ rows: changed, isSnapshot: false, maxAgeMs }, source.token).catch(() => undefined);
    return true;
  };
  options.sharing?.listen(applyShared);

  /** True while other processes read the table for this one and it lacks no change that it knows of. */
  const mayFollow = (): boolean => {
    if (position === undefined || shouldReadWholeTable || failures > 0) return false;
    if (!options.sharing?.isFollowing()) return false;
    if (!isBehind()) {
      behindSince = undefined;
      return true;
    }
    behindSince ??= clock.now();
    return clock.now() - behindSince < sharedChangeTimeoutMs;
  };

  const follow = async (token: CancellationToken): Promise<void> => {
    isFollowing = true;
    try {
      while (mayFollow()) await sleep(clock, followCheckMs, token);
    } finally {
      isFollowing = false;
    }
  };

  const run = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      try {
        if (mayFollow()) await follow(token);
        await readOnce(token);
      } catch (err) {
        if (token.isCancellationRequested) return;
        // Retried at once, over a new connection.
        if (openCallSource.token.isCancellationRequested) continue;
        if (err instanceof CancelledError) return;
        failedAt = clock.now();
        failures += 1;
        if (failures === 1) {
          const ageMs = Math.round(clock.now() - confirmedAt);
          log.warn({ table, ageMs, err: errMessage(err) }, 'store does not reply; retrying');
        }
        const delayMs = minRetryMs + fullJitter(random, minRetryMs, maxRetryMs, failures);
        await sleep(clock, delayMs, token).catch(() => undefined);
      }
    }
  };

  const onEnded = (err: unknown): void => {
    if (source.token.isCancellationRequested) return;
    log.error({ table, err: errMessage(err) }, 'table watch ended; restart the process');
  };

  const eraListener = options.eras?.onDidChange(() => {
    // Registrations may be missing in the copy, as after an outage.
    failedAt = clock.now();
    shouldReadWholeTable = true;
    openCallSource.cancel('the store came back from an older copy');
  });

  run(source.token).catch(onEnded);
  const { verifyMs } = options;
  if (verifyMs) {
    verifyRepeatedly(
      {
        clock,
        feed,
        table,
        rowVersions,
        verifyMs: () => verifyMs(),
        // The feed has this long to report a change that the table already has.
        settleMs: () => expectedChangeTimeoutMs + (options.pauseMs?.() ?? 0),
        // A feed that fails is retried, and then reports all changes.
        isReadable: () => failures === 0 && position !== undefined,
        onMissedChange() {
          reportMissedChange();
          openCallSource.cancel('the table has a change that the feed did not report');
        },
        onFailure(err) {
          log.warn(
            { table, err: errMessage(err) },
            'failed to verify the table; the feed is retried',
          );
          isConnectionSuspect = true;
          openCallSource.cancel('the table could not be verified');
        },
      },
      source.token,
    ).catch(onEnded);
  }

  return {
    get isSynced() {
      return confirmedAt !== -Infinity;
    },
    ageMs: () => clock.now() - confirmedAt,
    sinceFailureMs: () => clock.now() - failedAt,
    get newestRowVersion() {
      return newestRowVersion;
    },
    expectVersion(version) {
      expected = Math.max(expected, version);
      if (!isAwaitingExpectedChange() || expectTimer) return;
      expectTimer = clock.setTimer(expectedChangeTimeoutMs + (options.pauseMs?.() ?? 0), () => {
        expectTimer = undefined;
        if (!isAwaitingExpectedChange()) return;
        // The feed is past the change without having reported it.
        if (position !== undefined && position >= expected) reportMissedChange();
        else {
          log.warn(
            { table, position, expected },
            'store did not report an expected change; retrying',
          );
        }
        openCallSource.cancel('another process observed a change');
      });
    },
    dispose() {
      eraListener?.dispose();
      expectTimer?.dispose();
      source.cancel('watch closed');
    },
  };
}
