import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import {
  type CommandArgs,
  type CommandName,
  type CommandResult,
  type HostReply,
} from './commands.js';

/** A child process that runs daemons and stand-ins on command. */
export interface HostProcess {
  call<N extends CommandName>(name: N, args?: CommandArgs<N>): Promise<CommandResult<N>>;
  /** False once the process has exited. */
  readonly isAlive: boolean;
  /** Kills the process without cleanup, like a crash of the machine. */
  kill(): Promise<void>;
}

interface PendingCall {
  readonly resolve: (result: never) => void;
  readonly reject: (err: Error) => void;
}

const program = fileURLToPath(new URL('host.ts', import.meta.url));

export function startHostProcess(): HostProcess {
  const child: ChildProcess = fork(program, {
    stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    env: { ...process.env, NODE_NO_WARNINGS: '1' },
  });
  const pending = new Map<number, PendingCall>();
  let nextId = 1;
  let isAlive = true;
  const exited = new Promise<void>((resolve) => {
    child.once('exit', () => {
      isAlive = false;
      for (const call of pending.values()) call.reject(new Error('the host process exited'));
      pending.clear();
      resolve();
    });
  });
  child.on('message', (reply: HostReply) => {
    const call = pending.get(reply.id);
    pending.delete(reply.id);
    if (reply.err === undefined) call?.resolve(reply.result as never);
    else call?.reject(new Error(reply.err));
  });

  // Sending to a process that has just crashed emits an error, which must not end the tool.
  child.on('error', () => undefined);

  return {
    get isAlive() {
      return isAlive;
    },
    call(name, args) {
      if (!isAlive) return Promise.reject(new Error('the host process exited'));
      const id = nextId;
      nextId += 1;
      return new Promise((resolve, reject) => {
        pending.set(id, { resolve, reject });
        child.send({ id, name, args: args ?? {} }, (err) => {
          if (err) reject(err);
        });
      });
    },
    async kill() {
      child.kill('SIGKILL');
      await exited;
    },
  };
}
