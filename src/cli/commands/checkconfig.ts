import { errMessage, SettingsError } from '../../base/errors.js';
import { readSettings } from '../../daemon/settings/read.js';
import { type Command, commandError } from '../command.js';

export const checkConfigCommand: Command = {
  summary: 'check a settings file of cicadatided',
  usage: 'FILE',
  args: [1, 1],
  async run(ctx) {
    const [file = ''] = ctx.args;
    try {
      const { process: processSettings } = readSettings(file);
      const { role, instance } = processSettings;
      ctx.print(
        { file, role, instance },
        () => `${file}: settings of ${role} ${instance} are valid`,
      );
      return 'ok';
    } catch (err) {
      if (err instanceof SettingsError) throw commandError('refused', errMessage(err));
      throw err;
    }
  },
};
