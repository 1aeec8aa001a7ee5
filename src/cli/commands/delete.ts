import { type StoredRecord } from '../../configuration/records.js';
import { type Command, countOption } from '../command.js';
import { sendSubmission } from './submit.js';

export const deleteCommand: Command = {
  summary: 'delete a record',
  usage: 'KIND NAME [--based-on REVISION] [--submission-id ID]',
  details: ['--based-on N       revision to delete; default: the stored revision'],
  options: { 'based-on': { type: 'string' }, 'submission-id': { type: 'string' } },
  args: [2, 2],
  async run(ctx) {
    const [kind = '', name = ''] = ctx.args;
    const path = `records/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
    const requestedRevision = countOption(ctx.values, 'based-on');
    const baseRevision = requestedRevision ?? (await ctx.client().get<StoredRecord>(path)).revision;
    return sendSubmission(ctx, { kind, name, baseRevision, remove: true });
  },
};
