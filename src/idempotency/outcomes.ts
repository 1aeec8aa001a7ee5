/** Queries the bound agent for the outcome of an attempt whose reply did not arrive. */
import { type Clock, withTimeout } from '../base/clock.js';
import { isConnectionRefused } from '../base/connections.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { AttemptState, type ResultReply } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection } from '../ports/agents.js';
import { type Claim } from './claims.js';
import { type ServiceResult } from './results.js';

/**
 * Outcome that the bound agent reports for an attempt. `neverRun` is a proof: the same incarnation
 * has never delivered the attempt to the service and rejects it from now on. After `silent`, a
 * later query may succeed.
 */
export type AttemptOutcome =
  | { readonly kind: 'neverRun' }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'completed'; readonly result: ServiceResult };

export interface OutcomeSource {
  query(claim: Claim): Promise<AttemptOutcome>;
}

export interface OutcomeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Connection to the agent at an address; undefined when the address is unknown. */
  readonly connectionTo: (address: string) => PeerConnection<AgentClient> | undefined;
}

const queryTimeoutMs = 1_000;

const openOutcomeKinds: Readonly<Partial<Record<AttemptState, 'neverRun' | 'running'>>> = {
  [AttemptState.NEVER_RUN]: 'neverRun',
  [AttemptState.RUNNING]: 'running',
};

function toOutcome(reply: ResultReply, incarnation: string): AttemptOutcome {
  // Another incarnation has no record of the bound one's attempts.
  if (reply.incarnation !== incarnation) return { kind: 'unknown' };
  if (reply.state !== AttemptState.COMPLETED)
    return { kind: openOutcomeKinds[reply.state] ?? 'unknown' };
  const headers = reply.headers.map(({ name, value }) => [name, value] as const);
  return { kind: 'completed', result: { status: reply.status, headers, body: reply.body } };
}

export function createOutcomeSource(options: OutcomeOptions): OutcomeSource {
  const { clock, log, connectionTo } = options;
  return {
    async query({ team, row }) {
      const connection = connectionTo(row.address);
      if (!connection) return { kind: 'unknown' };
      try {
        const call = connection.client.result({ attemptId: row.attemptId, team });
        const reply = await withTimeout(clock, queryTimeoutMs, call);
        if (reply) return toOutcome(reply, row.incarnation);
        connection.reset('no reply to the query for the outcome of a call');
        return { kind: 'silent' };
      } catch (err) {
        log.info(
          { team, attempt: row.attemptId, err: errMessage(err) },
          'query for the outcome of an attempt failed',
        );
        return { kind: isConnectionRefused(err) ? 'unknown' : 'silent' };
      }
    },
  };
}
