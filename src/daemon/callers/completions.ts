import { type ServerResponse } from 'node:http';
import { type Clock } from '../../base/clock.js';
import { type Logger } from '../../base/logging.js';
import { isRefusal, refusal } from '../../base/refusals.js';
import { type RecordOf } from '../../configuration/records.js';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { type Admission, type TeamLimiter } from '../../limits/teamlimits.js';
import { type AgentView } from '../../membership/directory.js';
import { type CompletionKind } from '../../ports/engine.js';
import { estimateTokens } from '../../routing/blocks.js';
import { type CompletionEvent, type Dispatcher } from '../../routing/dispatcher.js';
import { type CompletionRequest, createCompletionRequest } from '../../routing/request.js';
import { type EntryMetrics } from '../metrics.js';
import { type BodyLimits, readJson } from './body.js';
import { type CallerContext, readDeadline, readPriority } from './context.js';
import { errorBody, headerNames, toRefusal } from './errors.js';
import { type AnswerHead, answerFormats, usageOf } from './format.js';
import { readOutputTokens, readPrompt } from './prompt.js';
import { writeEvent } from './write.js';

/** Parts that the completion handlers use. */
export interface CompletionOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  readonly dispatcher: Dispatcher;
  readonly limits: BodyLimits;
  readonly metrics: Pick<EntryMetrics, 'recordFirstToken' | 'recordPromptTokens'>;
  readonly teamLimits: TeamLimiter;
}

type Json = Readonly<Record<string, unknown>>;

const routerOnlyFields = new Set(['stream', 'stream_options']);

/** Finds the route of a model that the team may use. */
export function findModelRoute(
  replica: ConfigurationReplica,
  team: RecordOf<'team'>,
  model: string,
): RecordOf<'route'> {
  const route = replica.get('route', model);
  const allowed = !route?.teams || route.teams.includes(team.name);
  if (!route || route.kind !== 'model' || !allowed) {
    throw refusal('unknownModel', `model "${model}" does not exist`);
  }
  return route;
}

function servesRoute(route: RecordOf<'route'>, agent: AgentView): boolean {
  const { status } = agent;
  if (!status || status.kind !== 'engine') return false;
  if (route.targets && !route.targets.includes(status.target)) return false;
  if (route.weightsVersion && route.weightsVersion !== status.weightsVersion) return false;
  if (route.adapter && !status.adapters.includes(route.adapter)) return false;
  return status.models.includes(route.model ?? route.name);
}

/** Derives the cache salt of a team that has none in its record. */
export function saltOf(team: RecordOf<'team'>): string {
  return team.cacheSalt ?? `team:${team.name}`;
}

function engineBody(body: Json, model: string): Uint8Array {
  const kept = Object.entries(body).filter(([name]) => !routerOnlyFields.has(name));
  return Buffer.from(JSON.stringify({ ...Object.fromEntries(kept), model }));
}

function setAnswerHeaders(
  res: ServerResponse,
  requestId: string,
  event: Extract<CompletionEvent, { readonly kind: 'accepted' }>,
): void {
  if (res.headersSent) return;
  res.setHeader(headerNames.requestId, requestId);
  res.setHeader(headerNames.target, event.target);
  res.setHeader(headerNames.attempt, event.attempt);
}

/** Passes events on and counts the tokens that the answer really had. */
async function* settleAtEnd(
  events: AsyncIterable<CompletionEvent>,
  admission: Admission,
): AsyncGenerator<CompletionEvent> {
  for await (const event of events) {
    if (event.kind === 'end') admission.settle(event.promptTokens + event.outputTokens);
    yield event;
  }
}

export function createCompletionHandler(options: CompletionOptions, kind: CompletionKind) {
  const { clock, log, replica, dispatcher, limits, metrics, teamLimits } = options;
  const format = answerFormats[kind];

  const readRequest = async (
    ctx: CallerContext,
  ): Promise<{
    readonly request: CompletionRequest;
    readonly body: Json;
    readonly route: RecordOf<'route'>;
  }> => {
    const body = await readJson(ctx.req, limits, clock);
    if (typeof body['model'] !== 'string') {
      throw refusal('invalidRequest', 'model must be a string');
    }
    const route = findModelRoute(replica, ctx.team, body['model']);
    const model = route.model ?? route.name;
    const promptText = readPrompt(kind, body);
    const request = createCompletionRequest({
      requestId: ctx.requestId,
      team: ctx.team.name,
      salt: saltOf(ctx.team),
      kind,
      model,
      adapter: route.adapter,
      body: engineBody(body, model),
      promptText,
      promptTokens: estimateTokens(promptText),
      outputTokens: readOutputTokens(body),
      priority: readPriority(ctx.req, ctx.team, replica),
      deadline: readDeadline(ctx.req, route.deadlineMs, clock),
      // Engines keep the answer of a request with `store`, so a second run would keep two.
      isIdempotent: body['store'] !== true,
    });
    return { request, body, route };
  };

  const sendStream = async (
    ctx: CallerContext,
    head: AnswerHead,
    events: AsyncIterable<CompletionEvent>,
    includeUsage: boolean,
  ): Promise<void> => {
    const { res, requestId } = ctx;
    let started = false;
    const start = (): void => {
      if (started) return;
      started = true;
      res.setHeader('content-type', 'text/event-stream; charset=utf-8');
      res.setHeader('cache-control', 'no-cache');
    };
    try {
      let first = true;
      for await (const event of events) {
        if (event.kind === 'accepted') setAnswerHeaders(res, requestId, event);
        if (event.kind === 'text') {
          start();
          await writeEvent(
            res,
            JSON.stringify(format.chunk(head, event.text, null, first)),
            event.seq,
          );
          first = false;
        }
        if (event.kind !== 'end') continue;
        start();
        await writeEvent(
          res,
          JSON.stringify(format.chunk(head, '', event.finishReason, first)),
          event.seq,
        );
        if (includeUsage) {
          const usage = {
            ...format.chunk(head, '', null, false),
            choices: [],
            usage: usageOf(event),
          };
          await writeEvent(res, JSON.stringify(usage), event.seq);
        }
        await writeEvent(res, '[DONE]', event.seq);
      }
      res.end();
    } catch (err) {
      if (!started || ctx.source.token.isCancellationRequested) throw err;
      // The status line is sent already, so the error goes into the stream and no [DONE] follows.
      const refused = toRefusal(err, requestId, log);
      ctx.setOutcome(refused.code);
      await writeEvent(res, JSON.stringify(errorBody(refused, requestId)));
      res.end();
    }
  };

  const sendWhole = async (
    ctx: CallerContext,
    head: AnswerHead,
    events: AsyncIterable<CompletionEvent>,
  ): Promise<void> => {
    const { res, requestId } = ctx;
    let text = '';
    for await (const event of events) {
      if (event.kind === 'accepted') setAnswerHeaders(res, requestId, event);
      if (event.kind === 'text') text += event.text;
      if (event.kind !== 'end') continue;
      const body = JSON.stringify(format.whole(head, text, event));
      res.setHeader('content-type', 'application/json; charset=utf-8');
      res.setHeader('content-length', Buffer.byteLength(body));
      res.setHeader(headerNames.work, 'completed');
      res.end(body);
    }
  };

  async function* observe(
    model: string,
    startedAt: number,
    events: AsyncIterable<CompletionEvent>,
  ): AsyncGenerator<CompletionEvent> {
    let first = true;
    for await (const event of events) {
      if (event.kind === 'text' && first) {
        first = false;
        metrics.recordFirstToken(model, clock.now() - startedAt);
      }
      if (event.kind === 'end')
        metrics.recordPromptTokens(model, event.promptTokens, event.cachedTokens);
      yield event;
    }
  }

  return async (ctx: CallerContext): Promise<void> => {
    const startedAt = clock.now();
    const { request, body, route } = await readRequest(ctx);
    const created = Math.floor(clock.wallTime() / 1_000);
    const head = { requestId: ctx.requestId, model: route.name, created };
    const mayServe = (agent: AgentView): boolean => servesRoute(route, agent);
    const tokens = request.promptTokens + request.outputTokens;
    const admission = teamLimits.admit(ctx.team, { tokens, stream: true });
    try {
      const running = dispatcher.run(request, mayServe, ctx.source.token);
      const events = observe(route.name, startedAt, settleAtEnd(running, admission));
      if (body['stream'] !== true) {
        await sendWhole(ctx, head, events);
        return;
      }
      const streamOptions = body['stream_options'] as Json | undefined;
      await sendStream(ctx, head, events, streamOptions?.['include_usage'] === true);
    } catch (err) {
      if (isRefusal(err) && err.work === 'not-run') admission.settle(0);
      throw err;
    } finally {
      admission.dispose();
    }
  };
}
