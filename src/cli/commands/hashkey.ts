import { hashKey } from '../../configuration/replica.js';
import { type Command, commandError } from '../command.js';

export const hashKeyCommand: Command = {
  summary: 'print the SHA-256 hash of a key or token, for keyHashes and tokenHash',
  usage: '[KEY]',
  details: ['KEY                read from the standard input when absent, which keeps it private'],
  args: [0, 1],
  async run(ctx) {
    const key = ctx.args[0] ?? ctx.io.readStdin().replace(/\r?\n$/, '');
    if (key === '' || /\s/.test(key)) {
      throw commandError('usage', 'the key is empty or holds white space; write it on one line');
    }
    const hash = hashKey(key);
    ctx.print({ hash }, () => hash);
    return 'ok';
  },
};
