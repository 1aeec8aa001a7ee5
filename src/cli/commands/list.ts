import { type ConfigurationSnapshot } from '../../configuration/records.js';
import { type Command } from '../command.js';
import { formatTable } from '../text.js';

export const listCommand: Command = {
  summary: 'list the records in force',
  usage: '[KIND]',
  args: [0, 1],
  async run(ctx) {
    const [kind] = ctx.args;
    const query = kind === undefined ? '' : `?kind=${encodeURIComponent(kind)}`;
    const snapshot = await ctx.client().get<ConfigurationSnapshot>(`records${query}`);
    ctx.print(snapshot, () =>
      formatTable([
        ['KIND', 'NAME', 'REVISION', 'SCHEMA'],
        ...snapshot.records.map((record) => [
          record.kind,
          record.name,
          String(record.revision),
          String(record.schemaVersion),
        ]),
      ]),
    );
    return 'ok';
  },
};
