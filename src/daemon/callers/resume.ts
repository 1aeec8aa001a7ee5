/** Resumes the stream of a model request by its id, through any entry. */
import { type Clock } from '../../base/clock.js';
import { type Logger } from '../../base/logging.js';
import { isRefusal, refusal } from '../../base/refusals.js';
import { errMessage } from '../../base/errors.js';
import { type RecordOf } from '../../configuration/records.js';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { type Chunk } from '../../gen/cicadatide/v1/agent_pb.js';
import { type AgentDirectory, type AgentView } from '../../membership/directory.js';
import { type CompletionKind } from '../../ports/engine.js';
import { resumeAttempt } from '../../streams/attempt.js';
import { findAttempt, type FoundAttempt } from '../../streams/find.js';
import { type CallerContext } from './context.js';
import { errorBody, headerNames, toRefusal } from './errors.js';
import { completionFormats, usageOf } from './format.js';
import { writeEvent } from './write.js';

/** Dependencies of the resume handler. */
export interface ResumeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  readonly directory: AgentDirectory;
}

/** Path prefix of requests: `/v1/requests/{id}/stream?after=N`. */
export const requestPrefix = '/v1/requests/';

const pathPattern = /^\/v1\/requests\/([A-Za-z0-9._-]{8,64})\/stream$/;

const maxSeq = 0xffff_ffff;

/** Reads the sequence number to resume after: `after`, else the Last-Event-ID header, else 0. */
function readAfterSeq({ req, url }: CallerContext): number {
  const value = url.searchParams.get('after') ?? req.headers['last-event-id'] ?? '0';
  const afterSeq = Number(value);
  if (value !== '' && Number.isInteger(afterSeq) && afterSeq >= 0 && afterSeq <= maxSeq) {
    return afterSeq;
  }
  throw refusal('invalidRequest', 'after and Last-Event-ID must be the id of a received event');
}

/** Lists the model routes that the team may use. */
function listModelRoutes(
  replica: ConfigurationReplica,
  team: RecordOf<'team'>,
): readonly RecordOf<'route'>[] {
  return replica
    .list('route')
    .filter(({ kind, teams }) => kind === 'model' && (!teams || teams.includes(team.name)));
}

export function createResumeHandler(options: ResumeOptions) {
  const { clock, log, replica, directory } = options;

  /**
   * Lists the agents of the team's models, the hinted target first. Leaving agents are included
   * because they may still run or store the request.
   */
  const listCandidates = (
    ctx: CallerContext,
  ): { hasHint: boolean; agents: readonly AgentView[] } => {
    const models = new Set(
      listModelRoutes(replica, ctx.team).map((route) => route.model ?? route.name),
    );
    const serving = directory.all().filter(({ status }) => {
      if (status?.kind !== 'engine') return false;
      return status.models.length === 0 || status.models.some((model) => models.has(model));
    });
    const hint = ctx.req.headers[headerNames.target];
    const hinted = serving.filter(({ status }) => status?.target === hint);
    const others = serving.filter(({ status }) => status?.target !== hint);
    return { hasHint: hinted.length > 0, agents: [...hinted, ...others] };
  };

  const findRequest = async (ctx: CallerContext, afterSeq: number): Promise<FoundAttempt> => {
    const { requestId, team, source } = ctx;
    const { agents, hasHint } = listCandidates(ctx);
    const connections = agents.map(({ connection }) => connection);
    const options = { clock, requestId, team: team.name, afterSeq };
    const { foundAttempt, outcome } = await findAttempt(
      connections,
      options,
      hasHint,
      source.token,
    );
    if (foundAttempt) return foundAttempt;
    if (outcome === 'window') {
      throw refusal('replayWindow', `the events after ${afterSeq} are no longer available`);
    }
    if (outcome === 'silent') {
      const details = { work: 'unknown', retryAfterMs: 1_000 } as const;
      throw refusal('noTarget', 'an agent that may have the request did not respond', details);
    }
    // An unknown id and an id of another team get the same response.
    throw refusal('unknownRequest', 'no such request');
  };

  const sendChunks = async (
    ctx: CallerContext,
    foundAttempt: FoundAttempt,
    chunks: AsyncIterable<Chunk>,
    afterSeq: number,
  ): Promise<void> => {
    const { res, requestId } = ctx;
    const { model, kind } = foundAttempt.progress;
    const format = completionFormats[kind as CompletionKind];
    const route = listModelRoutes(replica, ctx.team).find(
      (item) => (item.model ?? item.name) === model,
    );
    const created = Math.floor(clock.wallTime() / 1_000);
    const metadata = { requestId, model: route?.name ?? model, created };
    let isFirst = afterSeq === 0;
    for await (const { part, seq } of chunks) {
      if (part.case === 'text') {
        const text = JSON.stringify(format.chunk(metadata, part.value.text, null, isFirst));
        await writeEvent(res, text, seq);
        isFirst = false;
      }
      if (part.case === 'failure') throw refusal('targetFailed', part.value.message);
      if (part.case !== 'end') continue;
      const { finishReason } = part.value;
      await writeEvent(res, JSON.stringify(format.chunk(metadata, '', finishReason, isFirst)), seq);
      if (ctx.url.searchParams.get('include_usage') === 'true') {
        const usage = usageOf({ kind: 'end', seq, ...part.value });
        const event = { ...format.chunk(metadata, '', null, false), choices: [], usage };
        await writeEvent(res, JSON.stringify(event), seq);
      }
      await writeEvent(res, '[DONE]', seq);
    }
  };

  const cancelAttempt = (ctx: CallerContext, { connection, attempt }: FoundAttempt): void => {
    const call = { requestId: ctx.requestId, attempt, team: ctx.team.name };
    connection.client.cancel(call, { timeoutMs: 1_000 }).catch((err: unknown) => {
      log.debug(
        { requestId: call.requestId, err: errMessage(err) },
        'cancel request did not reach the agent',
      );
    });
  };

  return async (callerCtx: CallerContext): Promise<void> => {
    const requestId = pathPattern.exec(callerCtx.url.pathname)?.[1];
    if (!requestId) throw refusal('unknownRequest', 'no such request');
    const ctx = { ...callerCtx, requestId };
    const { res, source, team } = ctx;
    const afterSeq = readAfterSeq(ctx);
    const foundAttempt = await findRequest(ctx, afterSeq);
    const { connection, attempt, lastSeq, progress } = foundAttempt;
    res.setHeader('content-type', 'text/event-stream; charset=utf-8');
    res.setHeader('cache-control', 'no-cache');
    res.setHeader(headerNames.requestId, requestId);
    res.setHeader(headerNames.target, progress.target);
    res.setHeader(headerNames.attempt, attempt);
    res.flushHeaders();
    if (progress.ended && !progress.failed && afterSeq === lastSeq) {
      await writeEvent(res, '[DONE]', lastSeq);
      res.end();
      return;
    }
    const init = { requestId, attempt, team: team.name, afterSeq };
    const chunks = resumeAttempt(connection, init, source.token, clock);
    try {
      await sendChunks(ctx, foundAttempt, chunks, afterSeq);
    } catch (err) {
      if (source.token.isCancellationRequested) {
        cancelAttempt(ctx, foundAttempt);
        throw err;
      }
      // The status line was already sent, so the error is written to the stream without [DONE].
      const refusalError = isRefusal(err) ? err : refusal('targetFailed', errMessage(err));
      await writeEvent(
        res,
        JSON.stringify(errorBody(toRefusal(refusalError, requestId, log), requestId)),
      );
    }
    res.end();
  };
}
