/**
 * Claims of non-idempotent requests in the platform table. A call costs two table writes: one
 * conditional write claims the key before dispatch, one settles it. The holder of a running
 * claim is the attempt id in its row. A row is never removed, because a removed and newly created
 * row would have the same version, and a paused process could then settle another's claim.
 */
import { type CancellationToken, noCancellation } from '../base/cancellation.js';
import { type Clock, sleep, withTimeout } from '../base/clock.js';
import { ConflictError, errMessage, StoreReplyLostError } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { refusal } from '../base/refusals.js';
import { type TablePort } from '../ports/table.js';
import { type KeptResult } from './results.js';

/** State of a claim. `not-run` frees the key; `unknown` waits for an operator. */
export type ClaimState = 'running' | 'completed' | 'not-run' | 'unknown';

/** Contents of a claim row. */
export interface ClaimRow {
  readonly state: ClaimState;
  readonly attemptId: string;
  readonly requestId: string;
  readonly service: string;
  readonly fingerprint: string;
  /** Agent and incarnation that alone may run the attempt. */
  readonly address: string;
  readonly target: string;
  readonly incarnation: string;
  /** Wall-clock time, for listings only. */
  readonly claimedAt: number;
  /** Absent when the result could not be kept. */
  readonly result?: KeptResult;
  /** Name of the operator who settled an unknown outcome. */
  readonly settledBy?: string;
}

/** One claim as the table holds it. */
export interface Claim {
  readonly team: string;
  readonly key: string;
  readonly version: number;
  readonly row: ClaimRow;
}

/** Outcome of a claim write: this process holds the key, or another claim is there. */
export type ClaimOutcome = { readonly held: boolean; readonly claim: Claim };

/** Outcome of a settling write. */
export type SettleOutcome = 'settled' | 'conflict' | 'failed';

/** What an operator decided about an unknown outcome. */
export type Resolution = 'completed' | 'not-run';

/** Claims by (team, Idempotency-Key). */
export interface ClaimStore {
  /**
   * Claims a key by one conditional write, over `previous` when its attempt never ran.
   * Throws the refusal `storeDown` (not-run) when the claim is not certain.
   */
  claim(
    team: string,
    key: string,
    row: ClaimRow,
    previous: Claim | undefined,
    token: CancellationToken,
  ): Promise<ClaimOutcome>;
  /** Reads a claim; throws StoreUnavailableError when the table does not answer. */
  read(team: string, key: string, token: CancellationToken): Promise<Claim | undefined>;
  /** Settles a claim by one conditional write, repeated only while the table refuses it. */
  settle(claim: Claim, change: Partial<ClaimRow>, tries?: number): Promise<SettleOutcome>;
  /** Claims of a team for operators: unknown outcomes, and runs older than `staleMs`. */
  listUnknown(team: string, staleMs: number, token: CancellationToken): Promise<readonly Claim[]>;
  /** Records an operator's decision; throws ConflictError when the claim has changed. */
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

const pageItems = 200;

const partitionOf = (team: string): string => `claims/${team}`;

export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { clock, log, table } = options;

  const bounded = async <T>(call: Promise<T>): Promise<T> => {
    const reply = await withTimeout(
      clock,
      tableTimeoutMs,
      call.then((value) => ({ value })),
    );
    if (!reply) throw new StoreReplyLostError('the table did not answer in time');
    return reply.value;
  };

  const read: ClaimStore['read'] = async (team, key, token) => {
    const item = await bounded(table.get({ partition: partitionOf(team), sort: key }, token));
    if (!item) return undefined;
    return { team, key, version: item.version, row: JSON.parse(item.value) as ClaimRow };
  };

  const write = async (claim: Claim, token: CancellationToken): Promise<'committed' | 'conflict'> =>
    bounded(
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

  const isSame = (stored: Claim | undefined, written: Claim): boolean =>
    stored?.row.attemptId === written.row.attemptId && stored.row.state === written.row.state;

  const trySettle = async (next: Claim): Promise<SettleOutcome> => {
    try {
      if ((await write(next, noCancellation)) === 'committed') return 'settled';
    } catch (err) {
      if (!(err instanceof StoreReplyLostError)) return 'failed';
    }
    try {
      // A conflict can also be an earlier try of this write whose reply was lost.
      const stored = await read(next.team, next.key, noCancellation);
      if (isSame(stored, next)) return 'settled';
      return stored?.version === next.version - 1 ? 'failed' : 'conflict';
    } catch {
      return 'failed';
    }
  };

  const settle: ClaimStore['settle'] = async (claim, change, tries = 1) => {
    const next = { ...claim, version: claim.version + 1, row: { ...claim.row, ...change } };
    let outcome = await trySettle(next);
    for (let count = 1; outcome === 'failed' && count < tries; count += 1) {
      await sleep(clock, settleRetryMs * Math.min(count, 10), noCancellation);
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
        if ((await write(claim, token)) === 'committed') return { held: true, claim };
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
      if (isSame(stored, claim)) return { held: true, claim };
      // A write without a reply may still arrive. Its attempt is never dispatched, so the agent
      // answers never-run for it and a later repeat takes the claim over.
      if (!stored || stored.version < claim.version) {
        throw refusal('storeDown', 'the claim did not reach the table');
      }
      return { held: false, claim: stored };
    },
    async listUnknown(team, staleMs, token) {
      const found: Claim[] = [];
      const oldest = clock.wallTime() - staleMs;
      for (let after = ''; ;) {
        const items = await bounded(table.query(partitionOf(team), after, pageItems, token));
        for (const { sort, version, value } of items) {
          const row = JSON.parse(value) as ClaimRow;
          const isStale = row.state === 'running' && row.claimedAt <= oldest;
          if (row.state === 'unknown' || isStale) found.push({ team, key: sort, version, row });
        }
        if (items.length < pageItems) return found;
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
