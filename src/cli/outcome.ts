import { type SubmissionOutcome } from '../configuration/store.js';
import { type CommandContext, type ExitName } from './command.js';

const exitNames: Readonly<Record<SubmissionOutcome['state'], ExitName>> = {
  accepted: 'ok',
  refused: 'refused',
  conflict: 'conflict',
  unavailable: 'unreachable',
  unknown: 'unknown',
};

/** Prints the outcome of a submission and returns the name of its exit code. */
export function printOutcome(ctx: CommandContext, outcome: SubmissionOutcome): ExitName {
  const { state, revision, submissionId, problems } = outcome;
  ctx.print(outcome, () => {
    if (state === 'accepted')
      return `accepted at revision ${revision} (submission ${submissionId})`;
    return [`${state} (submission ${submissionId})`, ...problems].join('\n  ');
  });
  return exitNames[state];
}
