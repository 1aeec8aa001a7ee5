import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { type Row, type RowFeedPort, type RowSet } from '../ports/rows.js';

export interface VerificationOptions {
  readonly clock: Clock;
  readonly feed: Pick<RowFeedPort, 'list'>;
  readonly table: string;
  /** Versions of the rows that were read, by key; kept up to date by the watch. */
  readonly rowVersions: ReadonlyMap<string, number>;
  /** Time until the next read. */
  verifyMs(): number;
  /** Time after a read in which the feed may still report what the table has. */
  settleMs(): number;
  /** True while the feed works, so that a difference means that it left out a change. */
  isReadable(): boolean;
  onMissedChange(): void;
  /** The table could not be read in time, so the connections of the watch may be silent. */
  onFailure(err: unknown): void;
}

/** Time limit of a read; the store replies within a few milliseconds. */
const readTimeoutMs = 700;

/**
 * Reads a table now and then until the token is cancelled, and compares its rows with those that the
 * feed has reported. A feed that replies in time is no proof that it reports all changes.
 */
export async function verifyRepeatedly(
  options: VerificationOptions,
  token: CancellationToken,
): Promise<void> {
  const { clock, feed, table, rowVersions } = options;

  const listInTime = async (): Promise<RowSet> => {
    const source = createCancellationSource(token);
    const timer = clock.setTimer(readTimeoutMs, () => source.cancel('no reply in time'));
    try {
      return await feed.list(table, source.token);
    } finally {
      timer.dispose();
      source.dispose();
    }
  };

  const verify = async (): Promise<void> => {
    const { rows } = await listInTime();
    const keys = new Set(rows.map(({ key }) => key));
    const removed = [...rowVersions].filter(([key]) => !keys.has(key));
    const isUnreported = ({ key, version }: Row): boolean => (rowVersions.get(key) ?? -1) < version;
    if (removed.length === 0 && !rows.some(isUnreported)) return;
    await sleep(clock, options.settleMs(), token);
    const isStillKnown = removed.some(([key, version]) => rowVersions.get(key) === version);
    if (options.isReadable() && (isStillKnown || rows.some(isUnreported))) options.onMissedChange();
  };

  for (;;) {
    await sleep(clock, options.verifyMs(), token);
    if (!options.isReadable()) continue;
    await verify().catch((err: unknown) => {
      token.throwIfCancelled();
      options.onFailure(err);
    });
  }
}
