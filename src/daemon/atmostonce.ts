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

/** Components of an entry that run non-idempotent calls at most once. */
export interface AtMostOnceCalls {
  readonly atMostOnceRunner: AtMostOnceRunner;
  readonly unknownCalls: UnknownCalls;
}

export interface AtMostOnceCallsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly table: TablePort;
  readonly objects: ObjectPort | undefined;
  readonly directory: AgentDirectory;
  readonly replica: ConfigurationReplica;
}

/** Age from which a running claim counts as unknown, because its entry may no longer exist. */
const staleClaimMs = 60_000;

/** Creates the runner with its claim store, result store and outcome source. */
export function createAtMostOnceCalls(options: AtMostOnceCallsOptions): AtMostOnceCalls {
  const { clock, log, table, objects, directory, replica } = options;
  const claims = createClaimStore({ clock, log, table });
  const connectionTo = (address: string) =>
    directory.all().find((agent) => agent.address === address)?.connection;
  const atMostOnceRunner = createAtMostOnceRunner({
    clock,
    log,
    claims,
    results: createResultStore(log, objects),
    outcomes: createOutcomeSource({ clock, log, connectionTo }),
  });
  const encodeCallId = (team: string, key: string): string =>
    Buffer.from(JSON.stringify([team, key])).toString('base64url');
  const decodeCallId = (id: string): readonly [string, string] | undefined => {
    try {
      const parts: unknown = JSON.parse(Buffer.from(id, 'base64url').toString());
      if (!Array.isArray(parts) || parts.length !== 2) return undefined;
      return [String(parts[0]), String(parts[1])];
    } catch {
      return undefined;
    }
  };
  return {
    atMostOnceRunner,
    unknownCalls: {
      async listUnknown(limit, token) {
        const calls = [];
        for (const { name } of replica.list('team')) {
          if (calls.length >= limit) break;
          for (const { team, key, row } of await claims.listUnknown(name, staleClaimMs, token)) {
            const { state, service, requestId, target, claimedAt } = row;
            const since = new Date(claimedAt).toISOString();
            calls.push({
              id: encodeCallId(team, key),
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
        return calls.slice(0, limit);
      },
      async settle(id, outcome, operator, token) {
        const callKey = decodeCallId(id);
        const claim = callKey && (await claims.read(callKey[0], callKey[1], token));
        const isStale =
          claim?.row.state === 'running' && claim.row.claimedAt <= clock.wallTime() - staleClaimMs;
        if (!claim || !(claim.row.state === 'unknown' || isStale)) return false;
        await claims.resolve(claim, outcome, operator);
        return true;
      },
    },
  };
}
