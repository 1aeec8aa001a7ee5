import { randomUUID } from 'node:crypto';
import { type IncomingMessage } from 'node:http';
import { Code, ConnectError } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { type Clock, withTimeout } from '../../base/clock.js';
import { errMessage } from '../../base/errors.js';
import { type Random } from '../../base/random.js';
import { isRefusal, refusal } from '../../base/refusals.js';
import { type RecordOf } from '../../configuration/records.js';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { type CallPart, CallPartSchema } from '../../gen/cicadatide/v1/agent_pb.js';
import {
  type AtMostOnceCall,
  type AtMostOnceRunner,
  type ResponseSink,
} from '../../idempotency/calls.js';
import { bufferBody, fingerprintOf } from '../../idempotency/fingerprint.js';
import { type TeamLimiter } from '../../limits/teamlimits.js';
import { type AgentDirectory, type AgentView } from '../../membership/directory.js';
import { type HeaderList } from '../../ports/service.js';
import { type CallerContext, readDeadline, readPriority } from './context.js';
import { headerNames } from './errors.js';
import { waitForDrain } from './write.js';

/** Dependencies of the service handler. */
export interface ServiceOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly replica: ConfigurationReplica;
  readonly directory: AgentDirectory;
  /** Runs non-idempotent calls; they are refused when it is absent. */
  readonly atMostOnceRunner: AtMostOnceRunner | undefined;
  /** Time limit for reading the part of a body that is buffered before the call is claimed. */
  readonly bodyTimeoutMs: number;
  readonly teamLimits: TeamLimiter;
}

/** Path prefix of plain services: `/services/{route}/{path of the service}`. */
export const servicePrefix = '/services/';

/**
 * Headers that are not forwarded in either direction: those of one connection (RFC 9110), `host`,
 * `expect` and the caller's API key.
 */
const droppedHeaders = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'authorization',
  'expect',
]);

function forwardedHeaders(req: IncomingMessage) {
  const headers: { readonly name: string; readonly value: string }[] = [];
  for (const [name, value] of Object.entries(req.headers)) {
    if (droppedHeaders.has(name)) continue;
    for (const item of [value ?? []].flat()) headers.push({ name, value: item });
  }
  return headers;
}

function findServiceRoute(
  replica: ConfigurationReplica,
  team: RecordOf<'team'>,
  name: string,
): RecordOf<'route'> {
  const route = replica.get('route', name);
  const allowed = !route?.teams || route.teams.includes(team.name);
  if (!route || route.kind !== 'service' || !allowed) {
    throw refusal('unknownRoute', `service "${name}" does not exist`);
  }
  return route;
}

const keyPattern = /^[\x21-\x7e]{1,255}$/;

/** Returns the caller's idempotency key, or a new one; the response carries it in both cases. */
function readKey(req: IncomingMessage): string {
  const header = req.headers[headerNames.key];
  if (header === undefined) return randomUUID();
  if (typeof header === 'string' && keyPattern.test(header)) return header;
  throw refusal('invalidRequest', 'Idempotency-Key must be 1 to 255 visible ASCII characters');
}

function setResponseHead(
  ctx: CallerContext,
  status: number,
  headers: HeaderList,
  target: string,
): void {
  const { res, requestId } = ctx;
  res.statusCode = status;
  for (const [name, value] of headers) {
    if (!droppedHeaders.has(name)) res.appendHeader(name, value);
  }
  res.setHeader(headerNames.requestId, requestId);
  res.setHeader(headerNames.target, target);
}

export function createServiceHandler(options: ServiceOptions) {
  const { clock, random, replica, directory, atMostOnceRunner, bodyTimeoutMs, teamLimits } =
    options;

  const chooseAgent = (route: RecordOf<'route'>): AgentView => {
    const serving = directory.usable().filter(({ status }) => {
      if (!status || status.kind !== 'service') return false;
      if (route.targets && !route.targets.includes(status.target)) return false;
      return status.models.includes(route.name);
    });
    let best: AgentView | undefined;
    let bestLoad = Infinity;
    for (const agent of serving) {
      const load = (agent.status?.running ?? 0) + agent.inFlightRequests + random.next() / 2;
      if (load >= bestLoad) continue;
      best = agent;
      bestLoad = load;
    }
    if (!best) throw refusal('noTarget', `no target currently serves "${route.name}"`);
    return best;
  };

  const callAtMostOnce = async (
    ctx: CallerContext,
    fields: Pick<AtMostOnceCall, 'service' | 'method' | 'path' | 'priority' | 'deadline'>,
    choose: () => AgentView,
  ): Promise<void> => {
    const { req, res, team, requestId, source } = ctx;
    if (!atMostOnceRunner) throw refusal('storeDown', 'no table is configured for claims');
    const key = readKey(req);
    res.setHeader(headerNames.key, key);
    const body = await withTimeout(clock, bodyTimeoutMs, bufferBody(req));
    if (!body) throw refusal('bodyTimeout', 'the body did not arrive in time');
    const declaredLength = req.headers['content-length'] ?? 'chunked';
    const fingerprint = fingerprintOf(fields.method, fields.path, body, declaredLength);
    const headers = forwardedHeaders(req)
      .filter(({ name }) => name !== headerNames.key)
      .map(({ name, value }) => [name, value] as const);
    const call: AtMostOnceCall = {
      ...fields,
      requestId,
      team: team.name,
      key,
      headers: [...headers, [headerNames.key, key]],
      body,
      fingerprint,
    };
    const sink: ResponseSink = {
      head(status, responseHeaders, target, replayed) {
        setResponseHead(ctx, status, responseHeaders, target);
        res.setHeader(headerNames.key, key);
        if (replayed) res.setHeader(headerNames.replayed, 'true');
      },
      async data(bytes) {
        if (res.destroyed || res.write(bytes)) return;
        await waitForDrain(res);
      },
    };
    await atMostOnceRunner.run(call, choose, sink, source.token);
    res.end();
  };

  return async (ctx: CallerContext): Promise<void> => {
    const { req, res, url, team, requestId } = ctx;
    const [, , name = '', ...segments] = url.pathname.split('/');
    const route = findServiceRoute(replica, team, name);
    const deadline = readDeadline(req, route.deadlineMs, clock);
    teamLimits.admit(team, { tokens: 0, stream: false });
    const method = req.method ?? 'GET';
    const path = `/${segments.join('/')}${url.search}`;
    const priority = readPriority(req, team, replica);
    if (!route.idempotentMethods.includes(method)) {
      await callAtMostOnce(ctx, { service: route.name, method, path, priority, deadline }, () =>
        chooseAgent(route),
      );
      return;
    }
    const agent = chooseAgent(route);
    const head = {
      requestId,
      attemptId: randomUUID(),
      team: team.name,
      service: route.name,
      incarnation: agent.status?.incarnation ?? '',
      method,
      path,
      headers: forwardedHeaders(req),
      remainingMs: Math.floor(deadline.remainingMs()),
      priority,
      once: false,
    };
    async function* requestParts(): AsyncGenerator<CallPart> {
      yield create(CallPartSchema, { part: { case: 'head', value: head } });
      for await (const data of req as AsyncIterable<Buffer>) {
        yield create(CallPartSchema, { part: { case: 'data', value: data } });
      }
      yield create(CallPartSchema, { part: { case: 'end', value: {} } });
    }
    const tracking = directory.trackRequest(agent.address);
    try {
      const reply = agent.connection.client.call(requestParts(), {
        signal: ctx.source.token.signal,
      });
      for await (const { part } of reply) {
        if (part.case === 'response') {
          const headers = part.value.headers.map(({ name: key, value }) => [key, value] as const);
          setResponseHead(ctx, part.value.status, headers, agent.status?.target ?? '');
        }
        if (part.case === 'data') res.write(part.value);
        if (part.case === 'end') res.end();
        if (part.case !== 'failure') continue;
        const work = part.value.notRun ? 'not-run' : 'unknown';
        throw refusal('targetFailed', part.value.message, { work });
      }
    } catch (err) {
      if (isRefusal(err)) throw err;
      const isUnreachable = ConnectError.from(err).code === Code.Unavailable;
      if (isUnreachable) directory.reportFailure(agent.address, errMessage(err));
      throw refusal('outcomeUnknown', `the call failed: ${errMessage(err)}`);
    } finally {
      tracking.dispose();
    }
  };
}
