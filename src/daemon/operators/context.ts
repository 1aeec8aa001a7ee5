import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type CancellationToken } from '../../base/cancellation.js';
import { type Clock } from '../../base/clock.js';
import { refusal } from '../../base/refusals.js';
import { type ConfigurationStore } from '../../configuration/store.js';
import { type AgentDirectory } from '../../membership/directory.js';
import { type ProcessConfiguration } from '../configuration.js';
import { type OrdersView } from '../orders.js';
import { type Operator, type OperatorRole } from './access.js';

/** Outcome that an operator sets for a call whose outcome is unknown. */
export type SettledOutcome = 'completed' | 'not-run';

/** Non-idempotent calls whose outcome is unknown. */
export interface UnknownCalls {
  /** Lists at most `limit` unknown calls; each has an `id`. */
  listUnknown(
    limit: number,
    token: CancellationToken,
  ): Promise<readonly Readonly<{ id: string } & Record<string, unknown>>[]>;
  /** Sets the outcome of one call; returns false when the call is not listed as unknown. */
  settle(
    id: string,
    outcome: SettledOutcome,
    operator: string,
    token: CancellationToken,
  ): Promise<boolean>;
}

/** Dependencies of the operators' API. */
export interface OperatorApiOptions {
  readonly clock: Clock;
  readonly configuration: ProcessConfiguration;
  readonly directory: AgentDirectory;
  /** Absent without a table; no orders are given in that case. */
  readonly orders: OrdersView | undefined;
  readonly bootstrapTokenHash: string | undefined;
  /** Absent when this entry stores no claims. */
  readonly unknownCalls?: UnknownCalls;
}

/** One authenticated request of an operator. */
export interface OperatorContext {
  readonly api: OperatorApiOptions;
  readonly operator: Operator;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly url: URL;
  /** Decoded parts of the path that the operation's pattern captures. */
  readonly params: readonly string[];
  readonly token: CancellationToken;
}

/** One operation of the operators' API. */
export interface OperatorOperation {
  readonly method: 'GET' | 'POST';
  readonly pattern: RegExp;
  readonly role: OperatorRole;
  readonly run: (ctx: OperatorContext) => Promise<void>;
}

export function requireStore({ api }: OperatorContext): ConfigurationStore {
  const { store } = api.configuration;
  if (store) return store;
  throw refusal('storeDown', 'this entry has no table; set [table] endpoint in its settings');
}
