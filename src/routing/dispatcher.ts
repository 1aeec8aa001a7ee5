import { Code, ConnectError } from '@connectrpc/connect';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { refusal, type RefusalError } from '../base/refusals.js';
import { type Chunk, type StreamEnd, type StreamFailure } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentDirectory, type AgentView } from '../membership/directory.js';
import { streamAttempt } from '../streams/attempt.js';
import { type Choice, type PlacementPolicy } from './policies.js';
import { type CompletionRequest } from './request.js';

/** What the caller's side sees of a running completion. */
export type CompletionEvent =
  | { readonly kind: 'accepted'; readonly target: string; readonly attempt: number }
  | {
      readonly kind: 'text';
      /** Increases over all attempts of the request; a caller resumes after it. */
      readonly seq: number;
      readonly text: string;
      readonly tokens: number;
    }
  | {
      readonly kind: 'end';
      readonly seq: number;
      readonly finishReason: string;
      readonly promptTokens: number;
      readonly cachedTokens: number;
      readonly outputTokens: number;
    };

/** Which agents may serve a request. */
export type AgentFilter = (agent: AgentView) => boolean;

/** Runs completions: chooses targets, retries, and continues broken streams elsewhere. */
export interface Dispatcher {
  /** Yields events until `end`; throws RefusalError for every other outcome. */
  run(
    req: CompletionRequest,
    mayServe: AgentFilter,
    token: CancellationToken,
  ): AsyncGenerator<CompletionEvent>;
}

export interface DispatcherOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly directory: AgentDirectory;
  readonly policy: PlacementPolicy;
}

/** Attempts of one request, the first one included. */
const maxAttempts = 4;

/** Chunks that a continuation passes on; the agent's replay window is as large. */
const maxDeliveredChunks = 256;

const retryBaseMs = 20;

const retryMaxMs = 500;

/** Progress of one request over its attempts. */
interface Progress {
  attempt: number;
  text: string;
  tokens: number;
  weightsVersion: string;
  /** Target of the newest attempt. */
  target: string;
  /** Newest chunks of all attempts; a continuation keeps them for a resuming caller. */
  chunks: Chunk[];
  readonly failedTargets: Set<string>;
}

type AttemptOutcome =
  | { readonly kind: 'ended'; readonly seq: number; readonly end: StreamEnd }
  | { readonly kind: 'failed'; readonly failure: StreamFailure | undefined; readonly err: string };

function keepChunk(progress: Progress, chunk: Chunk): void {
  progress.chunks.push(chunk);
  if (progress.chunks.length < 2 * maxDeliveredChunks) return;
  progress.chunks = progress.chunks.slice(-maxDeliveredChunks);
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { clock, random, log, directory, policy } = options;

  const agentsFor = (mayServe: AgentFilter, progress: Progress): readonly AgentView[] => {
    const serving = directory.usable().filter((agent) => {
      if (!mayServe(agent)) return false;
      const version = agent.status?.weightsVersion;
      return progress.weightsVersion === '' || version === progress.weightsVersion;
    });
    const untried = serving.filter((agent) => !progress.failedTargets.has(agent.address));
    return untried.length > 0 ? untried : serving;
  };

  /** Tells the agent that nobody waits for the attempt any more. */
  const cancelAttempt = (agent: AgentView, req: CompletionRequest, attempt: number): void => {
    const call = { requestId: req.requestId, attempt, team: req.team };
    agent.connection.client.cancel(call, { timeoutMs: 1_000 }).catch((err: unknown) => {
      log.debug({ requestId: req.requestId, err: errMessage(err) }, 'cancel was not delivered');
    });
  };

  async function* runAttempt(
    req: CompletionRequest,
    choice: Choice,
    progress: Progress,
    token: CancellationToken,
  ): AsyncGenerator<CompletionEvent, AttemptOutcome> {
    const { agent } = choice;
    const version = agent.status?.weightsVersion ?? '';
    const init = {
      requestId: req.requestId,
      attempt: progress.attempt,
      team: req.team,
      model: req.model,
      adapter: req.adapter,
      reservationId: choice.reservationId,
      incarnation: agent.status?.incarnation ?? '',
      weightsVersion: version,
      blockHashes: [...req.blockHashes(version)],
      promptTokens: req.promptTokens,
      outputTokens: req.outputTokens,
      priority: req.priority,
      remainingMs: Math.floor(req.deadline.remainingMs()),
      body: req.body,
      kind: req.kind,
      deliveredText: progress.text,
      deliveredTokens: progress.tokens,
      salt: req.salt,
      delivered: progress.chunks.slice(-maxDeliveredChunks),
    };
    const tracked = directory.trackRequest(agent.address);
    let finished = false;
    try {
      for await (const chunk of streamAttempt(agent.connection, init, token, clock)) {
        const { part, seq } = chunk;
        if (part.case === 'accepted' || part.case === 'text') keepChunk(progress, chunk);
        if (part.case === 'accepted') {
          progress.target = part.value.target;
          yield { kind: 'accepted', target: part.value.target, attempt: progress.attempt };
        }
        if (part.case === 'text') {
          progress.weightsVersion = version;
          progress.text += part.value.text;
          progress.tokens += part.value.tokens;
          yield { kind: 'text', seq, text: part.value.text, tokens: part.value.tokens };
        }
        if (part.case === 'failure') {
          finished = true;
          return { kind: 'failed', failure: part.value, err: part.value.message };
        }
        if (part.case === 'end') {
          finished = true;
          return { kind: 'ended', seq, end: part.value };
        }
      }
      return { kind: 'failed', failure: undefined, err: 'stream ended early' };
    } catch (err) {
      token.throwIfCancelled();
      const refused = ConnectError.from(err).code === Code.Unavailable;
      if (refused) directory.reportFailure(agent.address, errMessage(err));
      return { kind: 'failed', failure: undefined, err: errMessage(err) };
    } finally {
      tracked.dispose();
      if (!finished) cancelAttempt(agent, req, progress.attempt);
    }
  }

  const refuse = (req: CompletionRequest, progress: Progress, detail: string): RefusalError => {
    const work = progress.tokens > 0 ? 'unknown' : 'not-run';
    if (req.deadline.remainingMs() <= 0) return refusal('deadline', detail, { work });
    return refusal('overloaded', detail, { work, retryAfterMs: 1_000 });
  };

  async function* run(
    req: CompletionRequest,
    mayServe: AgentFilter,
    token: CancellationToken,
  ): AsyncGenerator<CompletionEvent> {
    const progress: Progress = {
      attempt: 0,
      text: '',
      tokens: 0,
      weightsVersion: '',
      target: '',
      chunks: [],
      failedTargets: new Set(),
    };
    let lastError = 'no target is ready for this route';
    while (progress.attempt < maxAttempts && req.deadline.remainingMs() > 0) {
      if (progress.attempt > 0) {
        const delayMs = fullJitter(random, retryBaseMs, retryMaxMs, progress.attempt - 1);
        await sleep(clock, Math.min(delayMs, req.deadline.remainingMs()), token);
      }
      const agents = agentsFor(mayServe, progress);
      const choice = agents.length > 0 ? await policy.choose(req, agents, token) : undefined;
      progress.attempt += 1;
      if (!choice) continue;
      const outcome = yield* runAttempt(req, choice, progress, token);
      if (outcome.kind === 'ended') {
        const { finishReason, promptTokens, cachedTokens } = outcome.end;
        const outputTokens = progress.tokens;
        const { seq } = outcome;
        yield { kind: 'end', seq, finishReason, promptTokens, cachedTokens, outputTokens };
        return;
      }
      lastError = outcome.err;
      progress.failedTargets.add(choice.agent.address);
      const { requestId, team } = req;
      const { attempt, target } = progress;
      log.info({ requestId, team, target, attempt, err: lastError }, 'attempt failed');
    }
    throw refuse(req, progress, lastError);
  }

  return { run };
}
