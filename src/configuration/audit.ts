import { noCancellation, type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type TablePort, type TableWrite } from '../ports/table.js';
import { type AuditEntry, auditKey, partitions } from './rows.js';

/** An audit entry without its time. */
export type AuditEvent = Omit<AuditEntry, 'at'>;

/** Trail of all accepted and refused changes. Entries are never changed or removed. */
export interface AuditTrail {
  /** Creates the write that adds an entry, for the transaction of an accepted change. */
  toWrite(event: AuditEvent): TableWrite;
  /** Adds an entry for a decision that stays valid even when the entry can't be written. */
  append(event: AuditEvent, otherWrites?: readonly TableWrite[]): Promise<void>;
  /** Lists entries from a time in ISO 8601 on, oldest first. */
  list(since: string, limit: number, token: CancellationToken): Promise<readonly AuditEntry[]>;
}

export interface AuditOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
}

/** Longest submission id, kind and name in an entry; longer ones are truncated. */
const maxAuditTextLength = 64;

function shorten(text: string): string {
  return text.slice(0, maxAuditTextLength);
}

export function createAuditTrail({ clock, random, log, table }: AuditOptions): AuditTrail {
  const toWrite = (event: AuditEvent): TableWrite => {
    const entry: AuditEntry = {
      ...event,
      at: new Date(clock.wallTime()).toISOString(),
      submissionId: shorten(event.submissionId),
      kind: shorten(event.kind),
      name: shorten(event.name),
    };
    const key = auditKey(entry, random.integer(2 ** 32));
    return { ...key, value: JSON.stringify(entry), condition: { version: 0 } };
  };

  return {
    toWrite,
    async append(event, otherWrites = []) {
      try {
        const result = await table.transact([toWrite(event), ...otherWrites], noCancellation);
        // The other rows may exist already; the audit entry is then written without them.
        if (result === 'conflict') await table.transact([toWrite(event)], noCancellation);
      } catch (err) {
        const { operator, kind, name, action, state } = event;
        const fields = { operator, kind, name, action, state, err: errMessage(err) };
        log.warn(fields, 'audit entry could not be written; this log line replaces it');
      }
    },
    async list(since, limit, token) {
      const items = await table.query(partitions.audit, since, limit, token);
      return items.map(({ value }) => JSON.parse(value) as AuditEntry);
    },
  };
}
