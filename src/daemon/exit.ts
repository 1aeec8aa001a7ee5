import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type DaemonProcess } from './process.js';

/** Exit codes of the daemon. */
export const exitCodes = { ok: 0, failed: 1, usage: 2, settings: 3, interrupted: 4 } as const;

/** First signal: finish running requests. Second signal: end at once. */
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
      const cut = daemon.stop();
      log.warn({ signal, cut }, 'second signal; ended at once');
      exit(exitCodes.interrupted);
      return;
    }
    log.info({ signal, active: daemon.active }, 'shutting down; a second signal ends at once');
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
