import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { errMessage } from '../base/errors.js';
import { readVersion } from '../base/version.js';
import { createOperatorClient } from './client.js';
import {
  type Command,
  CommandError,
  commandError,
  type CommandIo,
  exitCodes,
  type OptionValues,
  textOption,
} from './command.js';
import { auditCommand } from './commands/audit.js';
import { checkConfigCommand } from './commands/checkconfig.js';
import { deleteCommand } from './commands/delete.js';
import { diffCommand } from './commands/diff.js';
import { explainCommand } from './commands/explain.js';
import { hashKeyCommand } from './commands/hashkey.js';
import { listCommand } from './commands/list.js';
import { outcomeCommand } from './commands/outcome.js';
import { settleCommand } from './commands/settle.js';
import { showCommand } from './commands/show.js';
import { statusCommand } from './commands/status.js';
import { submitCommand } from './commands/submit.js';
import { unknownCommand } from './commands/unknown.js';

const commands: Readonly<Record<string, Command>> = {
  submit: submitCommand,
  list: listCommand,
  show: showCommand,
  diff: diffCommand,
  delete: deleteCommand,
  outcome: outcomeCommand,
  audit: auditCommand,
  status: statusCommand,
  explain: explainCommand,
  unknown: unknownCommand,
  settle: settleCommand,
  'hash-key': hashKeyCommand,
  'check-config': checkConfigCommand,
};

const commonOptions = {
  url: { type: 'string' },
  'token-file': { type: 'string' },
  json: { type: 'boolean' },
  help: { type: 'boolean' },
  version: { type: 'boolean' },
} as const;

const commonUsage = `common options:
  --url URL          URL of an entry's operators' listener; default: CICADATIDE_URL
  --token-file FILE  file with the operator token; default: CICADATIDE_TOKEN
  --json             print JSON instead of text
  --help             print this text and exit
  --version          print the version and exit

exit codes: 0 ok, 1 refused, 2 wrong usage, 3 conflict with another change,
            4 outcome unknown, 5 entry or its table not reachable
`;

function usageOf(name: string | undefined): string {
  const command = name === undefined ? undefined : commands[name];
  if (command) {
    const details = (command.details ?? []).map((line) => `  ${line}\n`).join('');
    const title = `usage: cicadatide ${name} ${command.usage}`.trimEnd();
    return `${title}\n\n${command.summary}\n\n${details}${details && '\n'}${commonUsage}`;
  }
  const lines = Object.entries(commands).map(([each, { summary }]) => {
    return `  ${each.padEnd(13)} ${summary}`;
  });
  return `usage: cicadatide COMMAND [ARGUMENTS] [OPTIONS]\n\n${lines.join('\n')}\n\n${commonUsage}`;
}

const allOptions = Object.assign(
  {},
  commonOptions,
  ...Object.values(commands).map(({ options }) => options ?? {}),
) as NonNullable<Command['options']>;

function parse(argv: readonly string[]) {
  try {
    const config = { args: [...argv], options: allOptions, allowPositionals: true };
    const { values, positionals } = parseArgs(config);
    return { values: values as OptionValues, positionals };
  } catch (err) {
    throw commandError('usage', errMessage(err));
  }
}

function checkOptions(name: string, command: Command, values: OptionValues): void {
  const known = { ...commonOptions, ...command.options };
  for (const option of Object.keys(values)) {
    if (Object.hasOwn(known, option)) continue;
    throw commandError(
      'usage',
      `--${option} is not an option of ${name}; see cicadatide ${name} --help`,
    );
  }
}

function readToken(values: OptionValues, env: NodeJS.ProcessEnv): string {
  const file = textOption(values, 'token-file');
  const { CICADATIDE_TOKEN: envToken = '' } = env;
  if (file === undefined && envToken === '') {
    throw commandError(
      'usage',
      'the operator token is missing; set CICADATIDE_TOKEN or --token-file',
    );
  }
  if (file === undefined) return envToken;
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (err) {
    throw commandError(
      'usage',
      `--token-file: can't be read (${errMessage(err)}); specify a readable file`,
    );
  }
}

function readUrl(values: OptionValues, env: NodeJS.ProcessEnv): string {
  const url = textOption(values, 'url') ?? env.CICADATIDE_URL;
  if (url !== undefined && /^https?:\/\//.test(url) && URL.canParse(url)) return url;
  const found = url === undefined ? 'nothing' : `"${url}"`;
  throw commandError(
    'usage',
    `--url: found ${found}; set --url or CICADATIDE_URL to http://IP:PORT`,
  );
}

async function runCommand(
  argv: readonly string[],
  env: NodeJS.ProcessEnv,
  io: CommandIo,
): Promise<number> {
  const { values, positionals } = parse(argv);
  const [name, ...args] = positionals;
  const command = name !== undefined && Object.hasOwn(commands, name) ? commands[name] : undefined;
  if (values.help) {
    io.out(usageOf(name));
    return exitCodes.ok;
  }
  if (values.version) {
    io.out(`${readVersion()}\n`);
    return exitCodes.ok;
  }
  if (!command || name === undefined) {
    const found = name === undefined ? 'no command' : `unknown command "${name}"`;
    throw commandError('usage', `${found}; run \`cicadatide --help\` for a list`);
  }
  checkOptions(name, command, values);
  const [minArgs, maxArgs] = command.args;
  if (args.length < minArgs || args.length > maxArgs) {
    throw commandError('usage', `usage: cicadatide ${name} ${command.usage}`.trimEnd());
  }
  const exit = await command.run({
    io,
    values,
    args,
    client: () => {
      const token = command.needsToken === false ? '' : readToken(values, env);
      return createOperatorClient(readUrl(values, env), token);
    },
    print(value, toText) {
      io.out(`${values.json ? JSON.stringify(value, undefined, 2) : toText()}\n`);
    },
  });
  return exitCodes[exit];
}

/** Runs the tool and returns its exit code. */
export async function runCli(
  argv: readonly string[],
  env: NodeJS.ProcessEnv,
  io: CommandIo,
): Promise<number> {
  try {
    return await runCommand(argv, env, io);
  } catch (err) {
    io.err(`cicadatide: ${errMessage(err)}\n`);
    if (err instanceof CommandError) return exitCodes[err.exit];
    return exitCodes.refused;
  }
}
