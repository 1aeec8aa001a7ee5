import bunyan from 'bunyan';

/** Structured logger. Fields never contain keys, tokens or prompts. */
export type Logger = bunyan;

/** Log levels that the settings accept. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;

export type LogLevel = (typeof logLevels)[number];

export function createLogger(
  instance: string,
  level: LogLevel,
  stream: NodeJS.WritableStream = process.stdout,
): Logger {
  return bunyan.createLogger({ name: 'cicadatide', instance, level, stream });
}

/** Creates a logger that discards all records, for tests and their stand-ins. */
export function createNullLogger(): Logger {
  return bunyan.createLogger({ name: 'cicadatide', streams: [] });
}
