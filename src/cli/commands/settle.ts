import { type Command, commandError, textOption } from '../command.js';

export const settleCommand: Command = {
  summary: 'settle a call whose outcome is unknown',
  usage: 'ID --outcome completed|not-run',
  details: ['--outcome NAME     known outcome of the call at the target'],
  options: { outcome: { type: 'string' } },
  args: [1, 1],
  async run(ctx) {
    const [id = ''] = ctx.args;
    const outcome = textOption(ctx.values, 'outcome');
    if (outcome !== 'completed' && outcome !== 'not-run') {
      throw commandError('usage', '--outcome: specify completed or not-run');
    }
    const lostReplyRemedy =
      'list the calls with `cicadatide unknown` and retry if this one is still listed';
    const path = `unknown/${encodeURIComponent(id)}`;
    const { body } = await ctx.client().send(path, { outcome }, lostReplyRemedy);
    ctx.print(body, () => `settled ${id} as ${outcome}`);
    return 'ok';
  },
};
