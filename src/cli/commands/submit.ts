import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { errMessage } from '../../base/errors.js';
import { type SubmissionOutcome } from '../../configuration/store.js';
import {
  type Command,
  type CommandContext,
  commandError,
  countOption,
  type ExitName,
  textOption,
} from '../command.js';
import { printOutcome } from '../outcome.js';

/** Contents of a file to submit; `show --json` prints this shape. */
export interface RecordFile {
  readonly kind: string;
  readonly name: string;
  readonly schemaVersion?: number;
  readonly baseRevision?: number;
  readonly revision?: number;
  readonly deleted?: boolean;
  readonly value: unknown;
}

/** Reads a record from a file, or from standard input for `-`. */
export function readRecordFile({ io }: CommandContext, file: string): RecordFile {
  let text: string;
  try {
    text = file === '-' ? io.readStdin() : readFileSync(file, 'utf8');
  } catch (err) {
    throw commandError('usage', `${file}: can't be read (${errMessage(err)}); specify a JSON file`);
  }
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (err) {
    throw commandError(
      'usage',
      `${file}: is not valid JSON (${errMessage(err)}); correct the file`,
    );
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw commandError(
      'usage',
      `${file}: is not a JSON object; specify an object with kind, name and value`,
    );
  }
  return value as RecordFile;
}

/** Sends a submission and prints its outcome. */
export async function sendSubmission(
  ctx: CommandContext,
  submission: Readonly<Record<string, unknown>>,
): Promise<ExitName> {
  const submissionId = textOption(ctx.values, 'submission-id') ?? randomUUID();
  const lostReplyRemedy =
    `check with \`cicadatide outcome ${submissionId}\`, or retry with ` +
    `--submission-id ${submissionId}; it takes effect at most once`;
  const reply = await ctx
    .client()
    .send('records', { ...submission, submissionId }, lostReplyRemedy);
  return printOutcome(ctx, reply.body as SubmissionOutcome);
}

export const submitCommand: Command = {
  summary: 'submit a new or changed record',
  usage: 'FILE [--based-on REVISION] [--submission-id ID]',
  details: [
    'FILE               JSON with kind, name, value and schemaVersion; - reads stdin',
    '--based-on N       revision that the change is based on, 0 for a new record; default:',
    '                   baseRevision or revision in FILE',
    '--submission-id ID repeats an earlier submission; it takes effect at most once',
  ],
  options: { 'based-on': { type: 'string' }, 'submission-id': { type: 'string' } },
  args: [1, 1],
  async run(ctx) {
    const [file = ''] = ctx.args;
    const { kind, name, schemaVersion, value, ...rest } = readRecordFile(ctx, file);
    const fileRevision = rest.baseRevision ?? rest.revision ?? 0;
    const baseRevision = countOption(ctx.values, 'based-on') ?? fileRevision;
    return sendSubmission(ctx, { kind, name, schemaVersion, value, baseRevision });
  },
};
