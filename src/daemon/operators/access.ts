import { type IncomingMessage } from 'node:http';
import { refusal } from '../../base/refusals.js';
import { type RecordOf } from '../../configuration/records.js';
import { type ConfigurationReplica, hashKey } from '../../configuration/replica.js';
import { readBearer } from '../callers/context.js';

/** `viewer`, `operator` or `admin`; each role may also do what the ones before it may. */
export type OperatorRole = RecordOf<'operator'>['role'];

/** An authenticated operator. */
export interface Operator {
  readonly name: string;
  readonly role: OperatorRole;
}

const roleRanks: Readonly<Record<OperatorRole, number>> = { viewer: 0, operator: 1, admin: 2 };

/** Operator name in the audit trail for changes made with the bootstrap token. */
const bootstrapName = 'bootstrap';

/** Returns whether the operator has the role or a higher one. */
export function hasRole(operator: Operator, role: OperatorRole): boolean {
  return roleRanks[operator.role] >= roleRanks[role];
}

/** Returns the operator of a bearer token; API keys of teams are not accepted. */
export function authenticateOperator(
  req: IncomingMessage,
  replica: ConfigurationReplica,
  bootstrapTokenHash: string | undefined,
): Operator {
  const token = readBearer(req);
  const found = token ? replica.findOperatorByToken(token) : undefined;
  if (found) return { name: found.name, role: found.role };
  if (token && bootstrapTokenHash === hashKey(token)) return { name: bootstrapName, role: 'admin' };
  throw refusal('unauthorized', 'the operator token is missing or unknown');
}

/** Describes the required role and the one that the operator has. */
export function describeMissingRole({ name, role }: Operator, required: OperatorRole): string {
  return `this needs the role ${required}, and ${name} has ${role}`;
}

export function requireRole(operator: Operator, role: OperatorRole): void {
  if (!hasRole(operator, role)) throw refusal('forbidden', describeMissingRole(operator, role));
}
