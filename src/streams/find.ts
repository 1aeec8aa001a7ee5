/** Finds the agent that runs a request, by asking agents with a bounded number of calls. */
import { Code, ConnectError } from '@connectrpc/connect';
import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, withTimeout } from '../base/clock.js';
import { type Progress } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection } from '../ports/agents.js';

/** A run of a request at one agent. */
export interface FoundRun {
  readonly connection: PeerConnection<AgentClient>;
  readonly attempt: number;
  readonly lastSeq: number;
  readonly progress: Progress;
}

/** Result of a search. `window` means that the wanted chunk is no longer kept. */
export interface SearchResult {
  readonly run: FoundRun | undefined;
  readonly outcome: 'found' | 'window' | 'unknown' | 'silent';
}

export interface SearchOptions {
  readonly clock: Clock;
  readonly requestId: string;
  readonly team: string;
  readonly afterSeq: number;
}

/** Calls at the same time, and over one search. */
const maxParallel = 16;

const maxAsked = 128;

const answerTimeoutMs = 1_000;

type Answer = FoundRun | Exclude<SearchResult['outcome'], 'found'>;

async function askAgent(
  connection: PeerConnection<AgentClient>,
  { clock, requestId, team, afterSeq }: SearchOptions,
  token: CancellationToken,
): Promise<Answer> {
  const source = createCancellationSource(token);
  try {
    const { signal } = source.token;
    const call = { requestId, attempt: 0, team, afterSeq };
    const stream = connection.client.resume(call, { signal })[Symbol.asyncIterator]();
    const next = await withTimeout(clock, answerTimeoutMs, stream.next());
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

/** A run that did not fail is preferred, then the newest attempt. */
function isBetter(candidate: FoundRun, known: FoundRun | undefined): boolean {
  if (!known) return true;
  if (candidate.progress.failed !== known.progress.failed) return known.progress.failed;
  return candidate.attempt > known.attempt;
}

/** Asks the given agents; the first one alone when it answers with a healthy run. */
export async function findRun(
  connections: readonly PeerConnection<AgentClient>[],
  options: SearchOptions,
  hasHint: boolean,
  token: CancellationToken,
): Promise<SearchResult> {
  const left = connections.slice(0, maxAsked);
  let best: FoundRun | undefined;
  let outcome: SearchResult['outcome'] = 'unknown';
  const take = (answer: Answer): void => {
    if (typeof answer === 'object') {
      if (isBetter(answer, best)) best = answer;
    } else if (answer === 'window' || (answer === 'silent' && outcome === 'unknown')) {
      outcome = answer;
    }
  };
  const hinted = hasHint ? left.shift() : undefined;
  if (hinted) take(await askAgent(hinted, options, token));
  if (best && !best.progress.failed) return { run: best, outcome: 'found' };
  const askNext = async (): Promise<void> => {
    for (let next = left.shift(); next; next = left.shift()) {
      take(await askAgent(next, options, token));
    }
  };
  await Promise.all(Array.from({ length: maxParallel }, askNext));
  return best ? { run: best, outcome: 'found' } : { run: undefined, outcome };
}
