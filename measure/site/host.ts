/** Main program of the host processes, which run daemons and stand-ins; see `commands.ts`. */
import { commands, type HostReply, type HostRequest } from './commands.js';

process.on('message', (message: HostRequest) => {
  const reply = (fields: Omit<HostReply, 'id'>): void => {
    process.send?.({ id: message.id, ...fields });
  };
  const command = commands[message.name] as (args: unknown) => unknown;
  Promise.resolve()
    .then(() => command(message.args))
    .then(
      (result) => reply({ result }),
      (err: unknown) => reply({ err: err instanceof Error ? err.message : String(err) }),
    );
});

// The channel closes when the parent process exits.
process.on('disconnect', () => process.exit(0));
