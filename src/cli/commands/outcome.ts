import { type SubmissionOutcome } from '../../configuration/store.js';
import { type Command } from '../command.js';
import { printOutcome } from '../outcome.js';

export const outcomeCommand: Command = {
  summary: 'show the outcome of a submission',
  usage: 'SUBMISSION-ID',
  args: [1, 1],
  async run(ctx) {
    const [id = ''] = ctx.args;
    const path = `submissions/${encodeURIComponent(id)}`;
    return printOutcome(ctx, await ctx.client().get<SubmissionOutcome>(path));
  },
};
