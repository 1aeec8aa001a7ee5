import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type DaemonProcess } from './process.js';

/** Exit codes of the daemon. */
export const exitCodes = { ok: 0, failed: 1, usage: 2, settings: 3, interrupted: 4 } as const;

/** Drains the process on the first SIGTERM or SIGINT and exits immediately on the second. */
export function handleSignals(
  daemon: DaemonProcess,
  log: Logger,
  flush: () => Promise<void> = async () => undefined,
): void {
  let signals = 0;
  const exit = (code: number): void => {
    flush().then(
      () => process.exit(code),
      () => process.exit(code),
    );
  };
  const onSignal = (signal: string): void => {
    signals += 1;
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
