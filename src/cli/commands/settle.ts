import { type Command, commandError, textOption } from '../command.js';

export const settleCommand: Command = {
  summary: 'settle a call whose outcome is unknown',
  usage: 'ID --outcome completed|not-run',
  details: ['--outcome NAME     what the target is known to have done'],
  options: { outcome: { type: 'string' } },
  args: [1, 1],
  async run(ctx) {
    const [id = ''] = ctx.args;
    const outcome = textOption(ctx.values, 'outcome');
    if (outcome !== 'completed' && outcome !== 'not-run') {
      throw commandError('usage', '--outcome: write completed or not-run');
    }
    const onLost = 'list the calls with `cicadatide unknown` and repeat if it is still there';
    const path = `unknown/${encodeURIComponent(id)}`;
    const { body } = await ctx.client().send(path, { outcome }, onLost);
    ctx.print(body, () => `settled ${id} as ${outcome}`);
    return 'ok';
  },
};
