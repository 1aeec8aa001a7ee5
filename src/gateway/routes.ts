import { type Random } from '../base/random.js';
import { type Route, type SiteConfiguration, type TeamSpec } from '../ports/site.js';

/** Why a request may not be forwarded. */
export type Rejection = 'unknown-route' | 'unknown-key';

/** Route and team of a request that may be forwarded. */
export interface Admission {
  readonly route: Route;
  readonly team: TeamSpec | undefined;
}

/** Finds the route and the team of requests under one version of the configuration. */
export interface RouteTable {
  readonly configuration: SiteConfiguration;
  admit(host: string, path: string, key: string | undefined): Admission | Rejection;
  /** Tightest objective of the streams of a service; Infinity when it has none. */
  tightestObjectiveMs(service: string): number;
}

export function createRouteTable(configuration: SiteConfiguration): RouteTable {
  const byHost = new Map<string, Route[]>();
  for (const route of configuration.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  // Sorts the longest prefix first, so that the first match is the most specific one.
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  const byKey = new Map<string, TeamSpec>();
  for (const team of configuration.teams ?? []) {
    for (const key of team.keys) byKey.set(key, team);
  }
  const objectives = new Map<string, number>();
  for (const { kind, objectiveMs, shares } of configuration.routes) {
    if (kind !== 'stream') continue;
    for (const { service } of shares)
      objectives.set(service, Math.min(objectiveMs, objectives.get(service) ?? Infinity));
  }
  return {
    configuration,
    tightestObjectiveMs: (service) => objectives.get(service) ?? Infinity,
    admit(host, path, key) {
      const name = host.toLowerCase().replace(/:\d+$/, '');
      const [pathOnly] = path.split('?', 1) as [string];
      const route = byHost.get(name)?.find(({ prefix }) => pathOnly.startsWith(prefix));
      if (!route) return 'unknown-route';
      if (!configuration.teams) return { route, team: undefined };
      const team = key === undefined ? undefined : byKey.get(key);
      if (!team && !route.isPublic) return 'unknown-key';
      return { route, team };
    },
  };
}

/** Picks a service at random, by the weights of the route's shares. */
export function pickService(route: Route, random: Random): string | undefined {
  let total = 0;
  for (const { weight } of route.shares) total += Math.max(0, weight);
  let remaining = random.next() * total;
  for (const { service, weight } of route.shares) {
    remaining -= Math.max(0, weight);
    if (remaining < 0) return service;
  }
  return route.shares.at(-1)?.service;
}
