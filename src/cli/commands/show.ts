import { type StoredRecord } from '../../configuration/records.js';
import { type Command, countOption } from '../command.js';

export const showCommand: Command = {
  summary: 'show a record; with --json in the format that submit accepts',
  usage: 'KIND NAME [--revision N]',
  details: ['--revision N       revision to show; default: the current one'],
  options: { revision: { type: 'string' } },
  args: [2, 2],
  async run(ctx) {
    const [kind = '', name = ''] = ctx.args;
    const revision = countOption(ctx.values, 'revision');
    const query = revision === undefined ? '' : `?revision=${revision}`;
    const path = `records/${encodeURIComponent(kind)}/${encodeURIComponent(name)}${query}`;
    const record = await ctx.client().get<StoredRecord>(path);
    ctx.print(record, () => {
      const head = `${record.kind} ${record.name}, revision ${record.revision}`;
      if (record.deleted) return `${head}, deleted`;
      return `${head}\n${JSON.stringify(record.value, undefined, 2)}`;
    });
    return 'ok';
  },
};
