import { isKnownKind, recordSchemas, schemaVersions } from './records.js';

/** A change of one record as an operator submits it. */
export interface Submission {
  /** Chosen by the operator's tool; a repeat with the same id takes effect at most once. */
  readonly submissionId: string;
  readonly kind: string;
  readonly name: string;
  readonly schemaVersion: number;
  /** Revision of the record that the change was based on; 0 for a new record. */
  readonly baseRevision: number;
  /** New contents; ignored for a deletion. */
  readonly value?: unknown;
  readonly remove?: boolean;
}

const idPattern = /^[A-Za-z0-9._-]{8,64}$/;

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

function isNonNegativeInteger(value: unknown): boolean {
  return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
}

function checkEnvelope(submission: Submission): readonly string[] {
  const problems: string[] = [];
  if (!idPattern.test(submission.submissionId)) {
    problems.push('submissionId: write 8 to 64 letters, digits, . _ -');
  }
  if (!isKnownKind(submission.kind)) {
    const kinds = Object.keys(recordSchemas).join(', ');
    problems.push(
      `kind: "${submission.kind}" is not known to this version; write one of ${kinds}, or ` +
        'submit through an entry of a newer version',
    );
  }
  if (!namePattern.test(submission.name)) problems.push('name: write letters, digits, . _ -');
  if (!isNonNegativeInteger(submission.baseRevision)) {
    problems.push('baseRevision: write the revision shown by `cicadatide show`, or 0 for new');
  }
  return problems;
}

/** Lists the problems of a submission as `field: what to write`. */
export function validateSubmission(submission: Submission): readonly string[] {
  const problems = checkEnvelope(submission);
  const { kind, value } = submission;
  if (problems.length > 0 || !isKnownKind(kind) || submission.remove) return problems;
  const newestVersion = schemaVersions[kind];
  const { schemaVersion } = submission;
  if (!isNonNegativeInteger(schemaVersion) || schemaVersion < 1 || schemaVersion > newestVersion) {
    return [
      `schemaVersion: write a whole number from 1 to ${newestVersion}, or submit through an entry of ` +
        'a newer version',
    ];
  }
  const result = recordSchemas[kind].safeParse(value);
  if (!result.success) {
    return result.error.issues.map((issue) => {
      const path = ['value', ...issue.path].join('.');
      return `${path}: ${issue.message}`;
    });
  }
  if (result.data.name !== submission.name) return [`value.name: write "${submission.name}"`];
  return [];
}
