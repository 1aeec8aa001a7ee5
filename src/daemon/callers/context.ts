import { randomUUID } from 'node:crypto';
import { type IncomingMessage, type ServerResponse } from 'node:http';
import { type CancellationSource } from '../../base/cancellation.js';
import { type Clock } from '../../base/clock.js';
import { type Deadline, createDeadline } from '../../base/deadline.js';
import { refusal } from '../../base/refusals.js';
import { type RecordOf } from '../../configuration/records.js';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { headerNames } from './errors.js';

/** One authenticated request of a caller. */
export interface CallerContext {
  readonly requestId: string;
  readonly team: RecordOf<'team'>;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly url: URL;
  /** Cancelled when the caller disconnects. */
  readonly source: CancellationSource;
  /** Records the outcome of a request that failed after its response had started. */
  setOutcome(code: string): void;
}

const requestIdPattern = /^[A-Za-z0-9._-]{8,64}$/;

/** Returns the caller's request id, or a new one when it sent none. */
export function readRequestId(req: IncomingMessage): string {
  const header = req.headers[headerNames.requestId];
  if (header === undefined) return randomUUID();
  if (typeof header === 'string' && requestIdPattern.test(header)) return header;
  throw refusal('invalidRequest', 'x-request-id must be 8 to 64 letters, digits, . _ -');
}

/** Returns the bearer token of a request, or an empty string. */
export function readBearer(req: IncomingMessage): string {
  return /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1] ?? '';
}

export function authenticateTeam(
  req: IncomingMessage,
  replica: ConfigurationReplica,
): RecordOf<'team'> {
  const key = readBearer(req);
  const team = key ? replica.findTeamByKey(key) : undefined;
  if (!team) throw refusal('unauthorized', 'the API key is missing or unknown');
  return team;
}

export function readDeadline(req: IncomingMessage, defaultMs: number, clock: Clock): Deadline {
  const header = req.headers[headerNames.deadline];
  if (header === undefined) return createDeadline(clock, defaultMs);
  const durationMs = Number(header);
  if (!Number.isInteger(durationMs) || durationMs < 1) {
    throw refusal(
      'invalidRequest',
      `${headerNames.deadline} must be a whole number of milliseconds above 0`,
    );
  }
  return createDeadline(clock, durationMs);
}

/** Returns the level of the named priority, of the team's default, or 0. */
export function readPriority(
  req: IncomingMessage,
  team: RecordOf<'team'>,
  replica: ConfigurationReplica,
): number {
  const header = req.headers[headerNames.priority];
  const name = typeof header === 'string' ? header : team.priority;
  if (name === undefined) return 0;
  const record = replica.get('priority', name);
  if (record) return record.level;
  if (header === undefined) return 0;
  throw refusal('invalidRequest', `priority "${name}" does not exist`);
}
