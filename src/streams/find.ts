/** Finds the agent that runs a request; the number of calls to agents is bounded. */
import { Code, ConnectError } from '@connectrpc/connect';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, withTimeout } from '../base/clock.js';
import { type Progress } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection } from '../ports/agents.js';

/** An attempt of a request that one agent reports. */
export interface FoundAttempt {
  readonly connection: PeerConnection<AgentClient>;
  readonly attempt: number;
  readonly lastSeq: number;
  readonly progress: Progress;
}

/**
 * Result of a search. `window` means that an agent no longer has the chunks after `afterSeq`,
 * `silent` that at least one agent sent no usable reply, `unknown` that no queried agent has it.
 */
export interface SearchResult {
  readonly foundAttempt: FoundAttempt | undefined;
  readonly outcome: 'found' | 'window' | 'unknown' | 'silent';
}

export interface SearchOptions {
  readonly clock: Clock;
  readonly requestId: string;
  readonly team: string;
  readonly afterSeq: number;
}

const maxConcurrentCalls = 16;

/** Limit of calls in one search; further agents are not queried. */
const maxCalls = 128;

const replyTimeoutMs = 1_000;

type AgentReply = FoundAttempt | Exclude<SearchResult['outcome'], 'found'>;

async function queryAgent(
  connection: PeerConnection<AgentClient>,
  { clock, requestId, team, afterSeq }: SearchOptions,
  token: CancellationToken,
): Promise<AgentReply> {
  const source = createCancellationSource(token);
  try {
    const { signal } = source.token;
    const call = { requestId, attempt: 0, team, afterSeq };
    const stream = connection.client.resume(call, { signal })[Symbol.asyncIterator]();
    const next = await withTimeout(clock, replyTimeoutMs, stream.next());
    if (!next || next.done) return 'silent';
    const { attempt, seq, part } = next.value;
    if (next.value.requestId !== requestId || part.case !== 'progress') return 'silent';
    return { connection, attempt, lastSeq: seq, progress: part.value };
  } catch (err) {
    const { code } = ConnectError.from(err);
    if (code === Code.OutOfRange) return 'window';
    return code === Code.NotFound || code === Code.FailedPrecondition ? 'unknown' : 'silent';
  } finally {
    source.cancel('answered');
    source.dispose();
  }
}

/** Prefers an attempt that has not failed, then the newest one. */
function isBetter(candidate: FoundAttempt, best: FoundAttempt | undefined): boolean {
  if (!best) return true;
  if (candidate.progress.failed !== best.progress.failed) return best.progress.failed;
  return candidate.attempt > best.attempt;
}

/** Queries the agents; only the first one if `hasHint` is set and its attempt has not failed. */
export async function findAttempt(
  connections: readonly PeerConnection<AgentClient>[],
  options: SearchOptions,
  hasHint: boolean,
  token: CancellationToken,
): Promise<SearchResult> {
  const remaining = connections.slice(0, maxCalls);
  let best: FoundAttempt | undefined;
  let outcome: SearchResult['outcome'] = 'unknown';
  const applyReply = (reply: AgentReply): void => {
    if (typeof reply === 'object') {
      if (isBetter(reply, best)) best = reply;
    } else if (reply === 'window' || (reply === 'silent' && outcome === 'unknown')) {
      outcome = reply;
    }
  };
  const hintedConnection = hasHint ? remaining.shift() : undefined;
  if (hintedConnection) applyReply(await queryAgent(hintedConnection, options, token));
  if (best && !best.progress.failed) return { foundAttempt: best, outcome: 'found' };
  const queryRemaining = async (): Promise<void> => {
    for (let next = remaining.shift(); next; next = remaining.shift()) {
      applyReply(await queryAgent(next, options, token));
    }
  };
  await Promise.all(Array.from({ length: maxConcurrentCalls }, queryRemaining));
  return best ? { foundAttempt: best, outcome: 'found' } : { foundAttempt: undefined, outcome };
}
