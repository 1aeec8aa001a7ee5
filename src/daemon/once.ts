import { type Clock } from '../base/clock.js';
import { type Logger } from '../base/logging.js';
import { type ConfigurationReplica } from '../configuration/replica.js';
import { createAtMostOnceRunner, type AtMostOnceRunner } from '../idempotency/calls.js';
import { createClaimStore } from '../idempotency/claims.js';
import { createOutcomeSource } from '../idempotency/outcomes.js';
import { createResultStore } from '../idempotency/results.js';
import { type AgentDirectory } from '../membership/directory.js';
import { type ObjectPort } from '../ports/objects.js';
import { type TablePort } from '../ports/table.js';
import { type UnknownCalls } from './operators/context.js';

/** Parts of an entry that run non-idempotent calls. */
export interface OnceStack {
  readonly caller: AtMostOnceRunner;
  readonly unknownCalls: UnknownCalls;
}

export interface OnceStackOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: TablePort;
  readonly objects: ObjectPort | undefined;
  readonly directory: AgentDirectory;
  readonly replica: ConfigurationReplica;
}

/** A claim that runs for longer than this is listed, because its entry may be gone. */
const staleMs = 60_000;

/** Composes claims, results and outcomes over the platform's stores. */
export function createOnceStack(options: OnceStackOptions): OnceStack {
  const { clock, log, table, objects, directory, replica } = options;
  const claims = createClaimStore({ clock, log, table });
  const connectionTo = (address: string) =>
    directory.all().find((agent) => agent.address === address)?.connection;
  const caller = createAtMostOnceRunner({
    clock,
    log,
    claims,
    results: createResultStore(log, objects),
    outcomes: createOutcomeSource({ clock, log, connectionTo }),
  });
  const toId = (team: string, key: string): string =>
    Buffer.from(JSON.stringify([team, key])).toString('base64url');
  const fromId = (id: string): readonly [string, string] | undefined => {
    try {
      const parts: unknown = JSON.parse(Buffer.from(id, 'base64url').toString());
      if (!Array.isArray(parts) || parts.length !== 2) return undefined;
      return [String(parts[0]), String(parts[1])];
    } catch {
      return undefined;
    }
  };
  return {
    caller,
    unknownCalls: {
      async listUnknown(limit, token) {
        const found = [];
        for (const { name } of replica.list('team')) {
          if (found.length >= limit) break;
          for (const { team, key, row } of await claims.listUnknown(name, staleMs, token)) {
            const { state, service, requestId, target, claimedAt } = row;
            const since = new Date(claimedAt).toISOString();
            found.push({
              id: toId(team, key),
              team,
              key,
              state,
              service,
              requestId,
              target,
              since,
            });
          }
        }
        return found.slice(0, limit);
      },
      async settle(id, outcome, operator, token) {
        const place = fromId(id);
        const claim = place && (await claims.read(place[0], place[1], token));
        const isStale =
          claim?.row.state === 'running' && claim.row.claimedAt <= clock.wallTime() - staleMs;
        if (!claim || !(claim.row.state === 'unknown' || isStale)) return false;
        await claims.resolve(claim, outcome, operator);
        return true;
      },
    },
  };
}
