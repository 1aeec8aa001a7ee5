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
import { answerFormats, usageOf } from './format.js';
import { writeEvent } from './write.js';

/** Parts that the resume handler uses. */
export interface ResumeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  readonly directory: AgentDirectory;
}

/** Path below which requests are found: `/v1/requests/{id}/stream?after=N`. */
export const requestPrefix = '/v1/requests/';

const pathPattern = /^\/v1\/requests\/([A-Za-z0-9._-]{8,64})\/stream$/;

const maxSeq = 0xffff_ffff;

/** Number after which to continue: `after`, else the standard Last-Event-ID header, else 0. */
function readAfter({ req, url }: CallerContext): number {
  const given = url.searchParams.get('after') ?? req.headers['last-event-id'] ?? '0';
  const afterSeq = Number(given);
  if (given !== '' && Number.isInteger(afterSeq) && afterSeq >= 0 && afterSeq <= maxSeq) {
    return afterSeq;
  }
  throw refusal('invalidRequest', 'after and Last-Event-ID must be the id of a received event');
}

/** Routes of models that the team may use. */
function modelRoutes(
  replica: ConfigurationReplica,
  team: RecordOf<'team'>,
): readonly RecordOf<'route'>[] {
  return replica
    .list('route')
    .filter(({ kind, teams }) => kind === 'model' && (!teams || teams.includes(team.name)));
}

export function createResumeHandler(options: ResumeOptions) {
  const { clock, log, replica, directory } = options;

  /** Agents of the team's models, the hinted target first. Leaving agents still hold runs. */
  const candidates = (ctx: CallerContext): { hasHint: boolean; agents: readonly AgentView[] } => {
    const models = new Set(
      modelRoutes(replica, ctx.team).map((route) => route.model ?? route.name),
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

  const search = async (ctx: CallerContext, afterSeq: number): Promise<FoundAttempt> => {
    const { requestId, team, source } = ctx;
    const { agents, hasHint } = candidates(ctx);
    const connections = agents.map(({ connection }) => connection);
    const wanted = { clock, requestId, team: team.name, afterSeq };
    const { foundAttempt, outcome } = await findAttempt(connections, wanted, hasHint, source.token);
    if (foundAttempt) return foundAttempt;
    if (outcome === 'window') {
      throw refusal('replayWindow', `the events after ${afterSeq} are not kept`);
    }
    if (outcome === 'silent') {
      const details = { work: 'unknown', retryAfterMs: 1_000 } as const;
      throw refusal('noTarget', 'an agent that may hold the request did not answer', details);
    }
    // The same answer for an unknown id and for one of another team.
    throw refusal('unknownRequest', 'no such request');
  };

  const sendChunks = async (
    ctx: CallerContext,
    run: FoundAttempt,
    chunks: AsyncIterable<Chunk>,
    afterSeq: number,
  ): Promise<void> => {
    const { res, requestId } = ctx;
    const { model, kind } = run.progress;
    const format = answerFormats[kind as CompletionKind];
    const route = modelRoutes(replica, ctx.team).find(
      (item) => (item.model ?? item.name) === model,
    );
    const created = Math.floor(clock.wallTime() / 1_000);
    const head = { requestId, model: route?.name ?? model, created };
    let first = afterSeq === 0;
    for await (const { part, seq } of chunks) {
      if (part.case === 'text') {
        const text = JSON.stringify(format.chunk(head, part.value.text, null, first));
        await writeEvent(res, text, seq);
        first = false;
      }
      if (part.case === 'failure') throw refusal('targetFailed', part.value.message);
      if (part.case !== 'end') continue;
      const { finishReason } = part.value;
      await writeEvent(res, JSON.stringify(format.chunk(head, '', finishReason, first)), seq);
      if (ctx.url.searchParams.get('include_usage') === 'true') {
        const usage = usageOf({ kind: 'end', seq, ...part.value });
        const event = { ...format.chunk(head, '', null, false), choices: [], usage };
        await writeEvent(res, JSON.stringify(event), seq);
      }
      await writeEvent(res, '[DONE]', seq);
    }
  };

  const cancelRun = (ctx: CallerContext, { connection, attempt }: FoundAttempt): void => {
    const call = { requestId: ctx.requestId, attempt, team: ctx.team.name };
    connection.client.cancel(call, { timeoutMs: 1_000 }).catch((err: unknown) => {
      log.debug({ requestId: call.requestId, err: errMessage(err) }, 'cancel was not delivered');
    });
  };

  return async (outer: CallerContext): Promise<void> => {
    const requestId = pathPattern.exec(outer.url.pathname)?.[1];
    if (!requestId) throw refusal('unknownRequest', 'no such request');
    const ctx = { ...outer, requestId };
    const { res, source, team } = ctx;
    const afterSeq = readAfter(ctx);
    const run = await search(ctx, afterSeq);
    const { connection, attempt, lastSeq, progress } = run;
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
      await sendChunks(ctx, run, chunks, afterSeq);
    } catch (err) {
      if (source.token.isCancellationRequested) {
        cancelRun(ctx, run);
        throw err;
      }
      // The status line is sent already, so the error goes into the stream and no [DONE] follows.
      const known = isRefusal(err) ? err : refusal('targetFailed', errMessage(err));
      await writeEvent(res, JSON.stringify(errorBody(toRefusal(known, requestId, log), requestId)));
    }
    res.end();
  };
}
