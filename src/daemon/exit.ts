import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type LogStream } from '../base/logstream.js';
import { type DaemonProcess } from './process.js';

/** Exit codes of the daemon. */
export const exitCodes = { ok: 0, failed: 1, usage: 2, settings: 3, interrupted: 4 } as const;

/** Log output that is written in the background. */
export type LogOutput = Pick<LogStream, 'shortenDelay' | 'flush'>;

/** Time to flush the last log lines when the process exits. */
const flushMs = 300;

/** Drains the process on the first SIGTERM or SIGINT and exits immediately on the second. */
export function handleSignals(daemon: DaemonProcess, log: Logger, output?: LogOutput): void {
  let signals = 0;
  const exit = (code: number): void => {
    const end = (): void => process.exit(code);
    if (output) output.flush(flushMs).then(end, end);
    else end();
  };
  const onSignal = (signal: string): void => {
    signals += 1;
    output?.shortenDelay();
    if (signals > 1) {
      const interruptedCount = daemon.stop();
      log.warn({ signal, cut: interruptedCount }, 'second signal received; exiting immediately');
      exit(exitCodes.interrupted);
      return;
    }
    log.info(
      { signal, active: daemon.active },
      'draining before shutdown; a second signal exits immediately',
    );
    daemon.drain().then(
      () => exit(exitCodes.ok),
      (err: unknown) => {
        log.error({ err: errMessage(err) }, 'shutdown failed');
        exit(exitCodes.failed);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
