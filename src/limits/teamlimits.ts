import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { refusal } from '../base/refusals.js';
import { type Demand, type DemandByTeam, type LimitAllocator } from './allocator.js';

/** A team with its limits over all entries; an absent limit is not checked. */
export interface LimitedTeam {
  readonly name: string;
  readonly limits: {
    readonly requestsPerSecond?: number | undefined;
    readonly tokensPerSecond?: number | undefined;
    readonly streams?: number | undefined;
  };
}

/** Cost of a request against the limits. */
export interface RequestCost {
  /** Estimated prompt tokens plus the upper bound of the response's tokens. */
  readonly tokens: number;
  /** True when the response counts as a concurrent stream until its admission is disposed. */
  readonly stream: boolean;
}

/** An admitted request; disposing it releases its stream. */
export interface Admission extends Disposable {
  /**
   * Returns the admitted tokens that were not used to the limit; use above the admitted number is
   * not charged. Only the first call has an effect.
   */
  settle(tokens: number): void;
}

/**
 * Enforces this entry's allocation of the teams' limits.
 *
 * Over all n entries and any time of T seconds, the admitted requests and tokens (without those
 * that `settle` returns) are at most limit × (T + 1 s of burst + interval × (n − 1)/n), plus one
 * request per entry; the interval is the time between exchanges (1 s, or up to 1.5 s while a peer
 * does not reply). The bound does not hold while entries can't reach each other, see
 * {@link LimitAllocator}. It can also be exceeded after requests were refused by the limit of
 * streams: the buckets are not refilled then, and the next refill uses the newest allocation for the
 * whole time since the last one.
 *
 * An entry admits a stream while it runs fewer than its allocation, and always a first one. Streams
 * that still run when the allocation decreases are not ended, so the sum over all entries can
 * approach n × limit when long streams run and the demand moves from entry to entry.
 */
export interface TeamLimiter {
  /** Admits a request or throws the refusal `teamLimit`. */
  admit(team: LimitedTeam, cost: RequestCost): Admission;
  /** Returns the demand since the last call, refused requests included. */
  takeDemand(): DemandByTeam;
}

/** Capacity of a bucket, in seconds of its rate. */
const burstSeconds = 1;

/** Retry delay without an allocation or a free stream; the next exchange may change both. */
const noAllocationRetryMs = 1_000;

interface Bucket {
  balance: number;
  updatedAt: number;
}

interface TeamState {
  readonly requests: Bucket;
  readonly tokens: Bucket;
  streams: number;
  requestedCount: number;
  requestedTokens: number;
  refusedStreams: number;
}

export function createTeamLimiter(clock: Clock, allocator: LimitAllocator): TeamLimiter {
  const states = new Map<string, TeamState>();
  let demandSince = clock.now();

  const newBucket = (): Bucket => ({ balance: Infinity, updatedAt: clock.now() });

  const stateOf = (team: string): TeamState => {
    const existing = states.get(team);
    if (existing) return existing;
    const state: TeamState = {
      requests: newBucket(),
      tokens: newBucket(),
      streams: 0,
      requestedCount: 0,
      requestedTokens: 0,
      refusedStreams: 0,
    };
    states.set(team, state);
    return state;
  };

  /** Refills a bucket and returns the wait until it covers the cost, or 0 when it does now. */
  const waitMsFor = (bucket: Bucket, rate: number, cost: number): number => {
    const now = clock.now();
    const capacity = Math.max(1, rate * burstSeconds);
    const added = ((now - bucket.updatedAt) / 1_000) * rate;
    bucket.balance = Math.min(capacity, bucket.balance + added);
    bucket.updatedAt = now;
    // A cost above the capacity needs only a full bucket; the negative balance delays later ones.
    const missing = Math.min(cost, capacity) - bucket.balance;
    if (missing <= 1e-9) return 0;
    return rate > 0 ? (missing / rate) * 1_000 : noAllocationRetryMs;
  };

  const refuse = (limitName: string, retryAfterMs: number) =>
    refusal('teamLimit', `the team's limit of ${limitName} is reached`, {
      retryAfterMs: Math.max(1, Math.ceil(retryAfterMs)),
    });

  return {
    admit(team, cost) {
      const { requestsPerSecond, tokensPerSecond, streams } = team.limits;
      const state = stateOf(team.name);
      state.requestedCount += 1;
      state.requestedTokens += cost.tokens;
      if (cost.stream && streams !== undefined) {
        const allowed = allocator.allocation(team.name, 'streams', streams);
        if (state.streams >= Math.max(1, Math.floor(allowed + 1e-9))) {
          state.refusedStreams += 1;
          throw refuse('concurrent streams', noAllocationRetryMs);
        }
      }
      if (requestsPerSecond !== undefined) {
        const rate = allocator.allocation(team.name, 'requests', requestsPerSecond);
        const waitMs = waitMsFor(state.requests, rate, 1);
        if (waitMs > 0) throw refuse('requests per second', waitMs);
      }
      if (tokensPerSecond !== undefined && cost.tokens > 0) {
        const rate = allocator.allocation(team.name, 'tokens', tokensPerSecond);
        const waitMs = waitMsFor(state.tokens, rate, cost.tokens);
        if (waitMs > 0) throw refuse('tokens per second', waitMs);
        state.tokens.balance -= cost.tokens;
      }
      if (requestsPerSecond !== undefined) state.requests.balance -= 1;
      if (cost.stream) state.streams += 1;
      let isSettled = false;
      const streamRelease = toDisposable(() => {
        if (cost.stream) state.streams -= 1;
      });
      return {
        settle(tokens) {
          if (isSettled) return;
          isSettled = true;
          state.tokens.balance += Math.max(0, cost.tokens - tokens);
        },
        dispose: () => streamRelease.dispose(),
      };
    },
    takeDemand() {
      const seconds = Math.max(0.001, (clock.now() - demandSince) / 1_000);
      demandSince = clock.now();
      const demand = new Map<string, Demand>();
      for (const [team, state] of states) {
        const { requestedCount, requestedTokens, refusedStreams, streams } = state;
        if (requestedCount === 0 && streams === 0) continue;
        demand.set(team, {
          requests: requestedCount / seconds,
          tokens: requestedTokens / seconds,
          streams: streams + refusedStreams,
        });
        state.requestedCount = 0;
        state.requestedTokens = 0;
        state.refusedStreams = 0;
      }
      return demand;
    },
  };
}
