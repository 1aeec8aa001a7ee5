/**
 * Claims of non-idempotent requests in the platform table. A call costs two table writes: one
 * conditional write claims the key before dispatch, one settles it. A running claim belongs to the
 * attempt whose id is in its row. A row is never removed, because a removed and newly created row
 * would have the same version, and a paused process could then settle another attempt's claim.
 */
import { type CancellationToken, noCancellation } from '../base/cancellation.js';
import { type Clock, sleep, withTimeout } from '../base/clock.js';
import { ConflictError, errMessage, StoreReplyLostError } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { refusal } from '../base/refusals.js';
import { type TablePort } from '../ports/table.js';
import { type StoredResult } from './results.js';

/** State of a claim. `not-run` releases the key; an operator can resolve `unknown`. */
export type ClaimState = 'running' | 'completed' | 'not-run' | 'unknown';

/** Contents of a claim row. */
export interface ClaimRow {
  readonly state: ClaimState;
  readonly attemptId: string;
  readonly requestId: string;
  readonly service: string;
  readonly fingerprint: string;
  /** Address, target and incarnation of the only agent that may run the attempt. */
  readonly address: string;
  readonly target: string;
  readonly incarnation: string;
  /**
   * Wall-clock time in milliseconds. It only determines from when on a running claim is listed as
   * unknown and can be settled by an operator.
   */
  readonly claimedAt: number;
  /** Absent until the call completes, and when the result could not be stored. */
  readonly result?: StoredResult;
  /** Name of the operator who settled the claim. */
  readonly settledBy?: string;
}

/** One claim as stored in the table. */
export interface Claim {
  readonly team: string;
  readonly key: string;
  readonly version: number;
  readonly row: ClaimRow;
}

/** Outcome of a claim write: the key was acquired, or `claim` is the existing claim of another. */
export type ClaimOutcome = { readonly isAcquired: boolean; readonly claim: Claim };

/** Outcome of a settling write. */
export type SettleOutcome = 'settled' | 'conflict' | 'failed';

/** Decision of an operator about an unknown outcome. */
export type Resolution = 'completed' | 'not-run';

/** Claims by (team, Idempotency-Key). */
export interface ClaimStore {
  /**
   * Claims a key with one conditional write; replaces `previous`, whose attempt never ran.
   * Throws the refusal `storeDown` (not-run) when it is not certain that the claim was written.
   */
  claim(
    team: string,
    key: string,
    row: ClaimRow,
    previous: Claim | undefined,
    token: CancellationToken,
  ): Promise<ClaimOutcome>;
  /**
   * Reads a claim; throws StoreUnavailableError when the table can't be read, StoreReplyLostError
   * after 1 s without a reply.
   */
  read(team: string, key: string, token: CancellationToken): Promise<Claim | undefined>;
  /**
   * Settles a claim with one conditional write. When it fails it is retried, up to `maxAttempts`
   * writes in total (1 by default); a conflict is not retried.
   */
  settle(claim: Claim, change: Partial<ClaimRow>, maxAttempts?: number): Promise<SettleOutcome>;
  /** Lists unknown outcomes of a team, and running attempts claimed `staleMs` ago or earlier. */
  listUnknown(team: string, staleMs: number, token: CancellationToken): Promise<readonly Claim[]>;
  /**
   * Records an operator's decision; throws ConflictError when the claim has changed, and the
   * refusal `storeDown` when the write failed.
   */
  resolve(claim: Claim, resolution: Resolution, operator: string): Promise<Claim>;
}

export interface ClaimStoreOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: TablePort;
}

/** Time after which the reply of a table call counts as lost. */
const tableTimeoutMs = 1_000;

const settleRetryMs = 200;

const maxPageItems = 200;

const partitionOf = (team: string): string => `claims/${team}`;

export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { clock, log, table } = options;

  const withTableTimeout = async <T>(call: Promise<T>): Promise<T> => {
    const reply = await withTimeout(
      clock,
      tableTimeoutMs,
      call.then((value) => ({ value })),
    );
    if (!reply) throw new StoreReplyLostError('the table did not reply in time');
    return reply.value;
  };

  const read: ClaimStore['read'] = async (team, key, token) => {
    const item = await withTableTimeout(
      table.get({ partition: partitionOf(team), sort: key }, token),
    );
    if (!item) return undefined;
    return { team, key, version: item.version, row: JSON.parse(item.value) as ClaimRow };
  };

  const writeClaim = async (
    claim: Claim,
    token: CancellationToken,
  ): Promise<'committed' | 'conflict'> =>
    withTableTimeout(
      table.transact(
        [
          {
            partition: partitionOf(claim.team),
            sort: claim.key,
            value: JSON.stringify(claim.row),
            condition: { version: claim.version - 1 },
          },
        ],
        token,
      ),
    );

  const isSameWrite = (stored: Claim | undefined, written: Claim): boolean =>
    stored?.row.attemptId === written.row.attemptId && stored.row.state === written.row.state;

  const trySettle = async (next: Claim): Promise<SettleOutcome> => {
    try {
      if ((await writeClaim(next, noCancellation)) === 'committed') return 'settled';
    } catch (err) {
      if (!(err instanceof StoreReplyLostError)) return 'failed';
    }
    try {
      // A conflict can also come from an earlier attempt of this write whose reply was lost.
      const stored = await read(next.team, next.key, noCancellation);
      if (isSameWrite(stored, next)) return 'settled';
      return stored?.version === next.version - 1 ? 'failed' : 'conflict';
    } catch {
      return 'failed';
    }
  };

  const settle: ClaimStore['settle'] = async (claim, change, maxAttempts = 1) => {
    const next = { ...claim, version: claim.version + 1, row: { ...claim.row, ...change } };
    let outcome = await trySettle(next);
    for (let writeCount = 1; outcome === 'failed' && writeCount < maxAttempts; writeCount += 1) {
      await sleep(clock, settleRetryMs * Math.min(writeCount, 10), noCancellation);
      outcome = await trySettle(next);
    }
    if (outcome !== 'settled') {
      const { team, row } = next;
      log.warn({ team, attempt: row.attemptId, state: row.state, outcome }, 'claim not settled');
    }
    return outcome;
  };

  return {
    read,
    settle,
    async claim(team, key, row, previous, token) {
      const claim: Claim = { team, key, version: (previous?.version ?? 0) + 1, row };
      try {
        if ((await writeClaim(claim, token)) === 'committed') return { isAcquired: true, claim };
      } catch (err) {
        if (!(err instanceof StoreReplyLostError)) {
          throw refusal('storeDown', `the call was not claimed: ${errMessage(err)}`);
        }
      }
      let stored: Claim | undefined;
      try {
        stored = await read(team, key, token);
      } catch (err) {
        throw refusal('storeDown', `the claim could not be read back: ${errMessage(err)}`);
      }
      if (isSameWrite(stored, claim)) return { isAcquired: true, claim };
      // A write without a reply may still arrive. Its attempt is never dispatched, so the agent
      // reports it as never run and a later request with this key replaces the claim.
      if (!stored || stored.version < claim.version) {
        throw refusal('storeDown', 'the claim did not reach the table');
      }
      return { isAcquired: false, claim: stored };
    },
    async listUnknown(team, staleMs, token) {
      const claims: Claim[] = [];
      const staleBefore = clock.wallTime() - staleMs;
      for (let after = ''; ;) {
        const items = await withTableTimeout(
          table.query(partitionOf(team), after, maxPageItems, token),
        );
        for (const { sort, version, value } of items) {
          const row = JSON.parse(value) as ClaimRow;
          const isStale = row.state === 'running' && row.claimedAt <= staleBefore;
          if (row.state === 'unknown' || isStale) claims.push({ team, key: sort, version, row });
        }
        if (items.length < maxPageItems) return claims;
        after = items.at(-1)?.sort ?? '';
      }
    },
    async resolve(claim, resolution, operator) {
      const change = { state: resolution, settledBy: operator };
      const outcome = await settle(claim, change);
      if (outcome === 'failed') throw refusal('storeDown', 'the decision was not recorded');
      if (outcome === 'conflict') {
        throw new ConflictError('the claim has changed; list the unknown outcomes again');
      }
      return { ...claim, version: claim.version + 1, row: { ...claim.row, ...change } };
    },
  };
}
