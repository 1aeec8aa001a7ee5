import { type Command } from '../command.js';
import { formatTable, formatValue } from '../text.js';

type UnknownCall = Readonly<{ id: string } & Record<string, unknown>>;

export const unknownCommand: Command = {
  summary: 'list non-idempotent calls whose outcome is unknown',
  usage: '',
  args: [0, 0],
  async run(ctx) {
    const reply = await ctx.client().get<{ readonly calls: readonly UnknownCall[] }>('unknown');
    ctx.print(reply, () => {
      if (reply.calls.length === 0) return 'no call has an unknown outcome';
      const fieldNames = Object.keys(reply.calls[0] ?? {});
      const titles = fieldNames.map((name) => name.toUpperCase());
      const textOf = (value: unknown): string =>
        typeof value === 'string' ? value : formatValue(value);
      return formatTable([
        titles,
        ...reply.calls.map((call) => fieldNames.map((fieldName) => textOf(call[fieldName]))),
      ]);
    });
    return 'ok';
  },
};
