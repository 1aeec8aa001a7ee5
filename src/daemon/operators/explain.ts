import { type DeferralDecision } from '../../gateway/deferral.js';
import { type ExplainedTarget } from '../../gateway/explanation.js';
import { type Placer } from '../../gateway/placement.js';
import { type RouteTable } from '../../gateway/routes.js';
import { type StreamAdmission } from '../../gateway/streamadmission.js';
import { lowestPriority } from '../../gateway/inflight.js';
import { refusal } from '../../base/refusals.js';
import { type Route, type TeamSpec } from '../../ports/site.js';
import { type CallerHead, type PromptPart } from '../../ports/wire.js';
import { type TargetSpeedModel } from '../../targetspeeds/targetspeeds.js';
import { type OperatorRoute, sendJson } from './server.js';

/** What a gateway would do with a request now. It has not been sent. */
export interface Explanation {
  readonly route: string;
  readonly service: string;
  /** Services of the route with their weights; a random one is used for each request. */
  readonly services: readonly { readonly service: string; readonly weight: number }[];
  readonly team: string | undefined;
  readonly admission: {
    readonly decision: DeferralDecision | 'wait-for-target';
    /** Deferred requests of the route at this gateway. */
    readonly deferred: number | undefined;
    /** Middle of the range of Retry-After in milliseconds; undefined when it would not be refused. */
    readonly retryAfterMs: number | undefined;
  };
  readonly configuration: { readonly version: number; readonly ageMs: number };
  readonly targets: readonly (ExplainedTarget & {
    /** Why the learned speed last changed, and the age of its newest sample in milliseconds. */
    readonly speed: { readonly reason: string; readonly sampleAgeMs: number } | undefined;
  })[];
}

export interface ExplainOptions {
  readonly placer: Pick<Placer, 'explain'>;
  readonly streamAdmission: Pick<StreamAdmission, 'preview'>;
  readonly targetSpeeds: Pick<TargetSpeedModel, 'reports'>;
  routes(): RouteTable | undefined;
  configurationAgeMs(): number;
}

/** Path of the read-only endpoint on the operators' listener of a gateway. */
const explainPath = '/v1/explain';

/** Parts of a prompt in one query; more than any caller within the limit on headers sends. */
const maxParts = 256;

const parameters = new Set([
  ...['host', 'path', 'team', 'service', 'model'],
  ...['promptTokens', 'outputTokens', 'parts'],
]);

function readCount(query: URLSearchParams, name: string): number {
  const text = query.get(name) ?? '0';
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw refusal('invalidRequest', `${name}: found "${text}"; specify a whole number of tokens`);
}

/** Reads `id:tokens,id:tokens`. */
function readParts(text: string): readonly PromptPart[] {
  if (text === '') return [];
  const items = text.split(',');
  if (items.length > maxParts)
    throw refusal('invalidRequest', `parts: found ${items.length}; specify at most ${maxParts}`);
  return items.map((item) => {
    const match = /^(.+):(\d{1,9})$/.exec(item);
    if (!match) throw refusal('invalidRequest', `parts: found "${item}"; specify ID:TOKENS`);
    return { id: match[1] as string, tokens: Number(match[2]) };
  });
}

function readText(query: URLSearchParams, name: string): string {
  const value = query.get(name);
  if (value) return value;
  throw refusal('invalidRequest', `${name} is missing; specify that of the request to explain`);
}

function findTeam(routes: RouteTable, name: string | null): TeamSpec | undefined {
  if (name === null) return undefined;
  const team = routes.configuration.teams?.find((spec) => spec.name === name);
  if (team) return team;
  throw refusal('invalidRequest', `team: found "${name}"; specify a team of the configuration`);
}

function findRoute(routes: RouteTable, query: URLSearchParams, team: TeamSpec | undefined): Route {
  const host = readText(query, 'host');
  const path = readText(query, 'path');
  const admission = routes.admit(host, path, team?.keys[0]);
  if (admission === 'unknown-route')
    throw refusal('invalidRequest', `no route for ${host} ${path}; the caller gets 404`);
  if (admission === 'unknown-key')
    throw refusal('invalidRequest', 'the route needs a key: specify a team; the caller gets 401');
  return admission.route;
}

function findService(route: Route, name: string | null): string {
  const shares = [...route.shares].sort((a, b) => b.weight - a.weight);
  const share = name === null ? shares[0] : shares.find(({ service }) => service === name);
  if (share) return share.service;
  const known = shares.map(({ service }) => service).join(', ');
  throw refusal('invalidRequest', `service: found "${name}"; specify one of: ${known}`);
}

function readHead(query: URLSearchParams): CallerHead {
  const parts = readParts(query.get('parts') ?? '');
  const partTokens = parts.reduce((total, { tokens }) => total + tokens, 0);
  const outputTokens = readCount(query, 'outputTokens');
  return {
    requestId: 'explain',
    waitMs: undefined,
    credential: undefined,
    resumeAfter: undefined,
    model: query.get('model') ?? undefined,
    promptTokens: Math.max(partTokens, readCount(query, 'promptTokens')),
    maxOutputTokens: outputTokens,
    expectedOutputTokens: outputTokens,
    parts,
  };
}

/** Explains the decision on a request by the functions that decide, without a change of any state. */
export function explainRequest(options: ExplainOptions, query: URLSearchParams): Explanation {
  for (const name of query.keys()) {
    if (parameters.has(name)) continue;
    const known = [...parameters].join(', ');
    throw refusal('invalidRequest', `unknown parameter "${name}"; use some of: ${known}`);
  }
  const routes = options.routes();
  if (!routes) throw refusal('notReady', 'no configuration is in force yet');
  const team = findTeam(routes, query.get('team'));
  const route = findRoute(routes, query, team);
  const service = findService(route, query.get('service'));
  const head = readHead(query);
  const targets = options.placer.explain({
    ...{ service, head, team },
    priority: Math.min(lowestPriority, team?.priority ?? route.priority),
    needsBackup: route.kind === 'stream' && !route.isResumable,
  });
  const [best] = targets;
  const hasChoice = best?.state === 'chosen';
  const tightestObjectiveMs = routes.tightestObjectiveMs(service);
  const call = { head, route, team, service, tightestObjectiveMs };
  const preview =
    hasChoice && route.kind === 'stream'
      ? options.streamAdmission.preview(call, best, { waitedMs: 0, remainingMs: route.timeoutMs })
      : undefined;
  const speeds = new Map(options.targetSpeeds.reports().map((report) => [report.target, report]));
  return {
    route: route.name,
    service,
    services: route.shares,
    team: team?.name,
    admission: {
      decision: hasChoice ? (preview?.decision ?? 'send') : 'wait-for-target',
      deferred: preview?.backlog.deferred,
      retryAfterMs: preview?.retryAfterMs,
    },
    configuration: {
      version: routes.configuration.version,
      ageMs: options.configurationAgeMs(),
    },
    targets: targets.map((target) => {
      const report = speeds.get(target.target);
      const speed = report && { reason: report.reason, sampleAgeMs: report.sampleAgeMs };
      return { ...target, speed };
    }),
  };
}

/** Creates the read-only endpoint for `cicadatide explain`. */
export const createExplainRoute = (options: ExplainOptions): OperatorRoute => ({
  path: explainPath,
  async handler({ method }, res, { searchParams }) {
    if (method !== 'GET') throw refusal('methodNotAllowed', 'explain is read-only; use GET');
    sendJson(res, 200, explainRequest(options, searchParams));
  },
});
