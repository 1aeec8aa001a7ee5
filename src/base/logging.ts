import bunyan from 'bunyan';

/** Structured logger. Fields never hold keys, tokens or prompts. */
export type Logger = bunyan;

/** Levels accepted by the settings. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error'] as const;

/** One of the {@link logLevels}. */
export type LogLevel = (typeof logLevels)[number];

export function createLogger(
  instance: string,
  level: LogLevel,
  stream: NodeJS.WritableStream = process.stdout,
): Logger {
  return bunyan.createLogger({ name: 'cicadatide', instance, level, stream });
}

/** Logger that drops everything, for tests and embedded use. */
export function createNullLogger(): Logger {
  return bunyan.createLogger({ name: 'cicadatide', streams: [] });
}
