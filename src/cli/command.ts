import { CicadatideError } from '../base/errors.js';
import { type OperatorClient } from './client.js';

/** Exit codes of the command-line tool. */
export const exitCodes = {
  ok: 0,
  refused: 1,
  usage: 2,
  conflict: 3,
  unknown: 4,
  unreachable: 5,
} as const;

export type ExitName = keyof typeof exitCodes;

/** Failure that is reported as one message and ends the tool with the exit code `exit`. */
export const CommandError = CicadatideError.subclass('CommandError', {
  custom: class extends CicadatideError {
    declare exit: ExitName;
  },
});

/** Creates a CommandError; the message names the remedy. */
export function commandError(exit: ExitName, message: string): Error {
  return new CommandError(message, { props: { exit } });
}

/** Input and output of the tool; tests supply their own. */
export interface CommandIo {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
  readonly readStdin: () => string;
}

/** Option values by name without leading dashes. */
export type OptionValues = Readonly<Record<string, string | boolean | undefined>>;

export interface CommandContext {
  readonly io: CommandIo;
  readonly values: OptionValues;
  readonly args: readonly string[];
  /** Creates a client with the URL and token from options, environment or file. */
  readonly client: () => OperatorClient;
  /** Prints the value as JSON with --json, otherwise the result of `toText`. */
  print(value: unknown, toText: () => string): void;
}

export interface Command {
  readonly summary: string;
  /** Arguments and command-specific options after the name of the command. */
  readonly usage: string;
  /** Help lines for arguments and command-specific options. */
  readonly details?: readonly string[];
  readonly options?: Readonly<Record<string, { readonly type: 'string' | 'boolean' }>>;
  /** Minimum and maximum number of arguments. */
  readonly args: readonly [number, number];
  /** False for commands that ask a listener without access control. */
  readonly needsToken?: boolean;
  readonly run: (ctx: CommandContext) => Promise<ExitName>;
}

/** Returns a string option, or undefined when it is absent. */
export function textOption(values: OptionValues, name: string): string | undefined {
  const value = values[name];
  return typeof value === 'string' ? value : undefined;
}

/** Returns a non-negative integer option, or undefined when it is absent. */
export function countOption(values: OptionValues, name: string): number | undefined {
  const text = textOption(values, name);
  if (text === undefined) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw commandError('usage', `--${name}: found "${text}"; specify a whole number`);
}
