import { hashKey } from '../../configuration/replica.js';
import { type Command, commandError } from '../command.js';

export const hashKeyCommand: Command = {
  summary: 'print the SHA-256 hash of a key or token, for keyHashes and tokenHash',
  usage: '[KEY]',
  details: ['KEY                default: standard input, which keeps it off the command line'],
  args: [0, 1],
  async run(ctx) {
    const key = ctx.args[0] ?? ctx.io.readStdin().replace(/\r?\n$/, '');
    if (key === '' || /\s/.test(key)) {
      throw commandError(
        'usage',
        'the key is empty or contains white space; specify it on one line',
      );
    }
    const hash = hashKey(key);
    ctx.print({ hash }, () => hash);
    return 'ok';
  },
};
