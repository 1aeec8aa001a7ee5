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
import { type CompletionMetadata, completionFormats, usageOf } from './format.js';
import { readOutputTokens, readPrompt } from './prompt.js';
import { writeEvent } from './write.js';

/** Dependencies of the completion handlers. */
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

/** Returns the route of a model; throws RefusalError unless the team may use the model. */
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

/** Returns the cache salt of a team, derived from its name when its record sets none. */
export function cacheSaltOf(team: RecordOf<'team'>): string {
  return team.cacheSalt ?? `team:${team.name}`;
}

function engineBody(body: Json, model: string): Uint8Array {
  const forwarded = Object.entries(body).filter(([name]) => !routerOnlyFields.has(name));
  return Buffer.from(JSON.stringify({ ...Object.fromEntries(forwarded), model }));
}

function setResponseHeaders(
  res: ServerResponse,
  requestId: string,
  event: Extract<CompletionEvent, { readonly kind: 'accepted' }>,
): void {
  if (res.headersSent) return;
  res.setHeader(headerNames.requestId, requestId);
  res.setHeader(headerNames.target, event.target);
  res.setHeader(headerNames.attempt, event.attempt);
}

/** Passes events through and settles the admission with the actual token count at the end. */
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
  const format = completionFormats[kind];

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
      salt: cacheSaltOf(ctx.team),
      kind,
      model,
      adapter: route.adapter,
      body: engineBody(body, model),
      promptText,
      promptTokens: estimateTokens(promptText),
      outputTokens: readOutputTokens(body),
      priority: readPriority(ctx.req, ctx.team, replica),
      deadline: readDeadline(ctx.req, route.deadlineMs, clock),
      // Engines store the response of a request with `store`; a second run would store another one.
      isIdempotent: body['store'] !== true,
    });
    return { request, body, route };
  };

  const sendStream = async (
    ctx: CallerContext,
    metadata: CompletionMetadata,
    events: AsyncIterable<CompletionEvent>,
    includeUsage: boolean,
  ): Promise<void> => {
    const { res, requestId } = ctx;
    let hasStarted = false;
    const ensureStarted = (): void => {
      if (hasStarted) return;
      hasStarted = true;
      res.setHeader('content-type', 'text/event-stream; charset=utf-8');
      res.setHeader('cache-control', 'no-cache');
    };
    try {
      let isFirst = true;
      for await (const event of events) {
        if (event.kind === 'accepted') setResponseHeaders(res, requestId, event);
        if (event.kind === 'text') {
          ensureStarted();
          await writeEvent(
            res,
            JSON.stringify(format.chunk(metadata, event.text, null, isFirst)),
            event.seq,
          );
          isFirst = false;
        }
        if (event.kind !== 'end') continue;
        ensureStarted();
        await writeEvent(
          res,
          JSON.stringify(format.chunk(metadata, '', event.finishReason, isFirst)),
          event.seq,
        );
        if (includeUsage) {
          const usage = {
            ...format.chunk(metadata, '', null, false),
            choices: [],
            usage: usageOf(event),
          };
          await writeEvent(res, JSON.stringify(usage), event.seq);
        }
        await writeEvent(res, '[DONE]', event.seq);
      }
      res.end();
    } catch (err) {
      if (!hasStarted || ctx.source.token.isCancellationRequested) throw err;
      // The status line was already sent, so the error is written to the stream without [DONE].
      const refusalError = toRefusal(err, requestId, log);
      ctx.setOutcome(refusalError.code);
      await writeEvent(res, JSON.stringify(errorBody(refusalError, requestId)));
      res.end();
    }
  };

  const sendComplete = async (
    ctx: CallerContext,
    metadata: CompletionMetadata,
    events: AsyncIterable<CompletionEvent>,
  ): Promise<void> => {
    const { res, requestId } = ctx;
    let text = '';
    for await (const event of events) {
      if (event.kind === 'accepted') setResponseHeaders(res, requestId, event);
      if (event.kind === 'text') text += event.text;
      if (event.kind !== 'end') continue;
      const body = JSON.stringify(format.completion(metadata, text, event));
      res.setHeader('content-type', 'application/json; charset=utf-8');
      res.setHeader('content-length', Buffer.byteLength(body));
      res.setHeader(headerNames.work, 'completed');
      res.end(body);
    }
  };

  async function* recordMetrics(
    model: string,
    startedAt: number,
    events: AsyncIterable<CompletionEvent>,
  ): AsyncGenerator<CompletionEvent> {
    let isFirst = true;
    for await (const event of events) {
      if (event.kind === 'text' && isFirst) {
        isFirst = false;
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
    const metadata = { requestId: ctx.requestId, model: route.name, created };
    const mayServe = (agent: AgentView): boolean => servesRoute(route, agent);
    const tokens = request.promptTokens + request.outputTokens;
    const admission = teamLimits.admit(ctx.team, { tokens, stream: true });
    try {
      const dispatchEvents = dispatcher.run(request, mayServe, ctx.source.token);
      const events = recordMetrics(route.name, startedAt, settleAtEnd(dispatchEvents, admission));
      if (body['stream'] !== true) {
        await sendComplete(ctx, metadata, events);
        return;
      }
      const streamOptions = body['stream_options'] as Json | undefined;
      await sendStream(ctx, metadata, events, streamOptions?.['include_usage'] === true);
    } catch (err) {
      if (isRefusal(err) && err.work === 'not-run') admission.settle(0);
      throw err;
    } finally {
      admission.dispose();
    }
  };
}
