import { type Difference } from '../../configuration/diff.js';
import { type Command, commandError, countOption } from '../command.js';
import { formatTable, formatValue } from '../text.js';
import { readRecordFile } from './submit.js';

interface DiffReply {
  readonly fromRevision: number;
  readonly differences: readonly Difference[];
}

export const diffCommand: Command = {
  summary: 'compare a file with the stored record, or the record with an earlier revision',
  usage: 'FILE [--revision N] | KIND NAME --revision N',
  details: ['--revision N       revision of the record to compare with'],
  options: { revision: { type: 'string' } },
  args: [1, 2],
  async run(ctx) {
    const revision = countOption(ctx.values, 'revision');
    const [first = '', name] = ctx.args;
    if (name !== undefined && revision === undefined) {
      throw commandError('usage', 'diff KIND NAME needs --revision N');
    }
    const body = name === undefined ? readRecordFile(ctx, first) : { kind: first, name };
    const { kind } = body;
    const value = 'value' in body ? body.value : undefined;
    const query = { kind, name: body.name, value, revision };
    const reply = await ctx.client().post<DiffReply>('diff', query);
    ctx.print(reply, () => {
      if (reply.differences.length === 0)
        return `no difference from revision ${reply.fromRevision}`;
      return formatTable([
        ['FIELD', `REVISION ${reply.fromRevision}`, 'NEW'],
        ...reply.differences.map(({ path, before, after }) => [
          path,
          formatValue(before),
          formatValue(after),
        ]),
      ]);
    });
    return 'ok';
  },
};
