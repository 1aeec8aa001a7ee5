#!/usr/bin/env node
import { signals } from './earlysignals.js';
import { parseArgs } from 'node:util';
import { errMessage, SettingsError } from '../base/errors.js';
import { createLogger, type Logger } from '../base/logging.js';
import { readVersion } from '../base/version.js';
import { startAgent } from './agent.js';
import { startEntry } from './entry.js';
import { exitAfterFlush, exitCodes, handleSignals } from './exit.js';
import { type DaemonProcess } from './process.js';
import { readSettings } from './settings/read.js';
import { type Role, type Settings } from './settings/schema.js';

const usage = `usage: cicadatided --config FILE [--check-config]

Starts one process of cicadatide. The settings file names its role.

  --config FILE    settings in INI format
  --check-config   check the settings and exit
  --version        print the version and exit
  --help           print this text and exit

exit codes: 0 ok, 1 start failed, 2 wrong arguments, 3 wrong settings,
            4 ended by a second SIGINT before running requests finished
`;

const startByRole: Readonly<
  Record<Role, (settings: Settings, log: Logger) => Promise<DaemonProcess>>
> = { entry: startEntry, agent: startAgent };

function readArguments() {
  return parseArgs({
    options: {
      config: { type: 'string' },
      'check-config': { type: 'boolean', default: false },
      version: { type: 'boolean', default: false },
      help: { type: 'boolean', default: false },
    },
  }).values;
}

async function main(): Promise<number | undefined> {
  let args: ReturnType<typeof readArguments>;
  try {
    args = readArguments();
  } catch (err) {
    process.stderr.write(`cicadatided: ${errMessage(err)}\n\n${usage}`);
    return exitCodes.usage;
  }
  if (args.help || args.version) {
    process.stdout.write(args.help ? usage : `${readVersion()}\n`);
    return exitCodes.ok;
  }
  if (!args.config) {
    process.stderr.write(`cicadatided: --config FILE is missing\n\n${usage}`);
    return exitCodes.usage;
  }
  const settings = readSettings(args.config);
  if (args['check-config']) {
    process.stdout.write(`${args.config}: settings are valid\n`);
    return exitCodes.ok;
  }
  const log = createLogger(settings.process.instance, settings.process.log_level);
  if (signals.isStopRequested) {
    log.info('stopped before it accepted requests');
    return exitCodes.ok;
  }
  const daemon = await startByRole[settings.process.role](settings, log);
  handleSignals({ daemon, log, signals, settingsPath: args.config, readSettings });
  return undefined;
}

try {
  const code = await main();
  if (code !== undefined) process.exitCode = code;
} catch (err) {
  process.stderr.write(`cicadatided: ${errMessage(err)}\n`);
  // What was started before the error would keep the process running.
  exitAfterFlush(err instanceof SettingsError ? exitCodes.settings : exitCodes.failed);
}
