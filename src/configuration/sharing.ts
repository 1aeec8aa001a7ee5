import { type Clock } from '../base/clock.js';
import { type Random } from '../base/random.js';
import { type Row } from '../ports/rows.js';

/** All changes of a table after one version of the store, up to another one. */
export interface ChangeBatch {
  readonly from: number;
  readonly to: number;
  readonly rows: readonly Row[];
}

/** What a process that reads the table itself tells the others. */
export interface SharedChanges extends ChangeBatch {
  /** Time since the store confirmed the version `to`, in milliseconds. */
  readonly ageMs: number;
}

/** Shares the changes of one table between processes, so that only a few of them ask the store. */
export interface TableSharing {
  /** Others read the table for this process at present, so it need not ask the store. */
  isFollowing(): boolean;
  /** Others have read the table lately, so that the replies to this process are probably heard. */
  hearsOthers(): boolean;
  /**
   * Time after a read of the whole table in which another process may confirm it, in milliseconds, so
   * that this one need not ask for changes at all.
   */
  settleMs(): number;
  /** Records a reply of the store to this process. */
  publish(batch: ChangeBatch): void;
  /** Sets the watch, which returns false when it lacks changes before `from`. */
  listen(apply: (changes: SharedChanges) => boolean): void;
  /** Changes for the next message; undefined when this process has not asked the store lately. */
  pack(): SharedChanges | undefined;
  /** Applies a message of another process. */
  merge(changes: SharedChanges, sender: string): void;
}

export interface TableSharingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly instance: string;
  /** Number of processes; undefined while it is unknown. */
  processCount(): number | undefined;
  /** Age of the newest confirmation up to which this process need not ask the store itself. */
  readonly freshMs: number;
  /** Called when there is a reply to tell. */
  onPublish(): void;
}

/** Processes that read a table for the others. One of them may be frozen without any delay. */
const readerCount = 2;

/**
 * With fewer processes each one reads for itself: their calls are few, and sites of this size require
 * changes to be in force sooner than larger ones.
 */
const minSharingProcesses = 8;

/** Messages that carry each change, because one may be lost. */
const repeatCount = 3;

/**
 * Length of the rows of one message in characters of JSON, so that the three tables of a gateway take
 * 6 KB of a datagram of 16 KB. Changes that don't fit are read from the store.
 */
const maxRowsLength = 2_000;

/** Replies that wait for a message; the oldest are dropped, so that others read these changes. */
const maxBatches = 32;

/** Processes whose confirmations are remembered; the one that was heard first is dropped. */
const maxConfirmations = 64;

/**
 * Time since the last message of another reader after which a process waits as if it were alone. It is
 * longer than the calls that all processes make when no reader is left, so that they don't end
 * together without having heard of each other.
 */
const hearMaxAgeMs = 10_000;

/** Longest pause after a read of the whole table: one wait of a reader. */
const maxSettleMs = 700;

interface PendingBatch extends ChangeBatch {
  sends: number;
}

interface Confirmation {
  readonly confirmedAt: number;
}

const lengthOf = ({ rows }: Pick<ChangeBatch, 'rows'>): number =>
  rows.reduce((sum, { key, value }) => sum + JSON.stringify([key, value ?? null]).length, 0);

/** Leaves out changes that were sent often enough, and what is before them, and those that don't fit. */
function selectBatches(batches: readonly PendingBatch[]): readonly PendingBatch[] {
  const lastSent = batches.findLastIndex(
    ({ rows, sends }) => rows.length > 0 && sends >= repeatCount,
  );
  let selected = batches.slice(lastSent + 1);
  while (selected.reduce((sum, batch) => sum + lengthOf(batch), 0) > maxRowsLength)
    selected = selected.slice(1);
  return selected;
}

/**
 * Decides without messages of its own which processes ask the store: those that have no fresh
 * confirmations of two others with a lower name. A process follows only on confirmations that include
 * all changes since its own state. When all readers stop, every process reads for itself after
 * `freshMs`; when one stops, another one replaces it after a random part of that.
 *
 * Load: 23 to 32 gateways with three tables each, where every change of a row woke all of them.
 */
export function createTableSharing(options: TableSharingOptions): TableSharing {
  const { clock, random, instance, freshMs } = options;
  const confirmations = new Map<string, Confirmation>();
  let batches: readonly PendingBatch[] = [];
  let ownConfirmedAt = -Infinity;
  let heardAt = -Infinity;
  let apply: ((changes: SharedChanges) => boolean) | undefined;
  /** When this process replaces a reader; undefined while there are enough. */
  let replacesAt: number | undefined;

  const isFresh = ({ confirmedAt }: Confirmation): boolean => clock.now() - confirmedAt < freshMs;

  const isActive = (): boolean => (options.processCount() ?? 0) >= minSharingProcesses;

  return {
    isFollowing() {
      if (!isActive()) return false;
      let fresh = 0;
      let lower = 0;
      for (const [name, confirmation] of confirmations) {
        if (!isFresh(confirmation)) continue;
        fresh += 1;
        if (name < instance) lower += 1;
      }
      if (fresh === 0) return false;
      if (lower >= readerCount) {
        replacesAt = undefined;
        return true;
      }
      // A process that reads goes on reading until there are enough others.
      if (clock.now() - ownConfirmedAt < freshMs) return false;
      replacesAt ??= clock.now() + random.next() * freshMs;
      return clock.now() < replacesAt;
    },
    hearsOthers: () => clock.now() - heardAt < hearMaxAgeMs,
    settleMs: () => (isActive() ? random.next() * maxSettleMs : 0),
    publish({ from, to, rows }) {
      ownConfirmedAt = clock.now();
      const last = batches.at(-1);
      const kept = last?.to === from ? batches : [];
      const isExtension = kept.length > 0 && rows.length === 0 && last?.rows.length === 0;
      batches = isExtension
        ? [...kept.slice(0, -1), { ...last, to }]
        : [...kept, { from, to, rows, sends: 0 }].slice(-maxBatches);
      options.onPublish();
    },
    listen(listener) {
      apply = listener;
    },
    pack() {
      if (clock.now() - ownConfirmedAt >= freshMs) {
        batches = [];
        return undefined;
      }
      const newest = batches.at(-1);
      if (!newest) return undefined;
      const selected = selectBatches(batches);
      const [first] = selected;
      for (const batch of selected) batch.sends += 1;
      const base = { from: newest.to, to: newest.to, rows: [], sends: 0 };
      batches = first ? selected : [base];
      return {
        from: first?.from ?? newest.to,
        to: newest.to,
        rows: selected.flatMap(({ rows }) => rows),
        ageMs: Math.round(clock.now() - ownConfirmedAt),
      };
    },
    merge(changes, sender) {
      if (sender === instance) return;
      heardAt = clock.now();
      if (!apply?.(changes)) return;
      const confirmedAt = clock.now() - changes.ageMs;
      const known = confirmations.get(sender);
      if (known && known.confirmedAt >= confirmedAt) return;
      confirmations.set(sender, { confirmedAt });
      if (confirmations.size <= maxConfirmations) return;
      const [first] = confirmations.keys();
      if (first !== undefined) confirmations.delete(first);
    },
  };
}
