/** Finds the outcome of an attempt whose reply did not arrive, by asking the bound agent. */
import { type Clock, withTimeout } from '../base/clock.js';
import { isConnectionRefused } from '../base/connections.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { AttemptState, type ResultReply } from '../gen/cicadatide/v1/agent_pb.js';
import { type AgentClient, type PeerConnection } from '../ports/agents.js';
import { type Claim } from './claims.js';
import { type ServiceResult } from './results.js';

/**
 * What the bound agent says of an attempt. `neverRun` is a proof: the same incarnation has never
 * handed the attempt over and refuses it from now on. `silent` means that asking again may help.
 */
export type AttemptOutcome =
  | { readonly kind: 'neverRun' }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'silent' }
  | { readonly kind: 'completed'; readonly result: ServiceResult };

/** Asks agents for outcomes. */
export interface OutcomeSource {
  ask(claim: Claim): Promise<AttemptOutcome>;
}

export interface OutcomeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  /** Connection to a known agent, or undefined when this process does not know the address. */
  readonly connectionTo: (address: string) => PeerConnection<AgentClient> | undefined;
}

const askTimeoutMs = 1_000;

const outcomes: Readonly<Partial<Record<AttemptState, 'neverRun' | 'running'>>> = {
  [AttemptState.NEVER_RUN]: 'neverRun',
  [AttemptState.RUNNING]: 'running',
};

function toOutcome(reply: ResultReply, incarnation: string): AttemptOutcome {
  // Another incarnation knows nothing of what the bound one did.
  if (reply.incarnation !== incarnation) return { kind: 'unknown' };
  if (reply.state !== AttemptState.COMPLETED) return { kind: outcomes[reply.state] ?? 'unknown' };
  const headers = reply.headers.map(({ name, value }) => [name, value] as const);
  return { kind: 'completed', result: { status: reply.status, headers, body: reply.body } };
}

export function createOutcomeSource(options: OutcomeOptions): OutcomeSource {
  const { clock, log, connectionTo } = options;
  return {
    async ask({ team, row }) {
      const connection = connectionTo(row.address);
      if (!connection) return { kind: 'unknown' };
      try {
        const call = connection.client.result({ attemptId: row.attemptId, team });
        const reply = await withTimeout(clock, askTimeoutMs, call);
        if (reply) return toOutcome(reply, row.incarnation);
        connection.reset('no answer about the outcome of a call');
        return { kind: 'silent' };
      } catch (err) {
        log.info({ team, attempt: row.attemptId, err: errMessage(err) }, 'no outcome from agent');
        return { kind: isConnectionRefused(err) ? 'unknown' : 'silent' };
      }
    },
  };
}
