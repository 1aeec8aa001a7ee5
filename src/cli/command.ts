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

/** Name of an exit code. */
export type ExitName = keyof typeof exitCodes;

/** A failure that is reported as one message, with the exit code to end with. */
export const CommandError = CicadatideError.subclass('CommandError', {
  custom: class extends CicadatideError {
    declare exit: ExitName;
  },
});

/** Creates the error of a command; the message names the remedy. */
export function commandError(exit: ExitName, message: string): Error {
  return new CommandError(message, { props: { exit } });
}

/** Text streams of the tool; tests pass their own. */
export interface CommandIo {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
  readonly readStdin: () => string;
}

/** Values of the options, by name without dashes. */
export type OptionValues = Readonly<Record<string, string | boolean | undefined>>;

/** What a command runs with. */
export interface CommandContext {
  readonly io: CommandIo;
  readonly values: OptionValues;
  readonly args: readonly string[];
  /** Connects with the URL and token from options, environment or file. */
  readonly client: () => OperatorClient;
  /** Prints the value as JSON with --json, else as the lines of the text. */
  print(value: unknown, toText: () => string): void;
}

/** One command of the tool. */
export interface Command {
  readonly summary: string;
  /** Arguments and own options after the command's name. */
  readonly usage: string;
  /** One line for each own option. */
  readonly details?: readonly string[];
  readonly options?: Readonly<Record<string, { readonly type: 'string' | 'boolean' }>>;
  /** Least and greatest number of arguments. */
  readonly args: readonly [number, number];
  readonly run: (ctx: CommandContext) => Promise<ExitName>;
}

/** Returns a text option, or undefined when it is absent. */
export function textOption(values: OptionValues, name: string): string | undefined {
  const value = values[name];
  return typeof value === 'string' ? value : undefined;
}

/** Returns a whole number above or equal to 0, or undefined when the option is absent. */
export function countOption(values: OptionValues, name: string): number | undefined {
  const text = textOption(values, name);
  if (text === undefined) return undefined;
  if (/^\d{1,15}$/.test(text)) return Number(text);
  throw commandError('usage', `--${name}: found "${text}"; write a whole number`);
}
