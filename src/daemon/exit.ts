import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type LogStream } from '../base/logstream.js';
import { type DaemonProcess } from './process.js';

/** Exit codes of the daemon. */
export const exitCodes = { ok: 0, failed: 1, usage: 2, settings: 3, interrupted: 4 } as const;

/** Log output that is written in the background. */
export type LogOutput = Pick<LogStream, 'shortenDelay' | 'flush'>;

export type StopSignal = 'SIGTERM' | 'SIGINT';

/** What a process does when it receives a signal. */
export type SignalAction = 'drain' | 'continue' | 'interrupt';

/** Time to flush the last log lines when the process exits. */
const flushMs = 300;

/** Time for interrupted requests to log their end. */
const interruptMs = 100;

/**
 * Decides what a signal does after those that were received before it. Supervisors repeat SIGTERM,
 * so only a second SIGINT, which a person sends from a terminal, shortens a stop.
 */
export function signalAction(signal: StopSignal, received: readonly StopSignal[]): SignalAction {
  if (received.length === 0) return 'drain';
  return signal === 'SIGINT' && received.includes('SIGINT') ? 'interrupt' : 'continue';
}

/** Drains the process on the first SIGTERM or SIGINT; see {@link signalAction} for later ones. */
export function handleSignals(daemon: DaemonProcess, log: Logger, output?: LogOutput): void {
  const received: StopSignal[] = [];
  const exit = (code: number): void => {
    const end = (): void => process.exit(code);
    if (output) output.flush(flushMs).then(end, end);
    else end();
  };
  const actions: Readonly<Record<SignalAction, (signal: StopSignal) => void>> = {
    drain(signal) {
      log.info({ signal, active: daemon.active }, 'draining before shutdown');
      daemon.drain().then(
        () => exit(exitCodes.ok),
        (err: unknown) => {
          log.error({ err: errMessage(err) }, 'shutdown failed');
          exit(exitCodes.failed);
        },
      );
    },
    continue(signal) {
      log.info(
        { signal, active: daemon.active },
        'still draining; a second SIGINT exits immediately',
      );
    },
    interrupt(signal) {
      const cut = daemon.stop();
      log.warn({ signal, cut }, 'second SIGINT received; exiting immediately');
      setTimeout(() => exit(exitCodes.interrupted), interruptMs);
    },
  };
  const onSignal = (signal: StopSignal): void => {
    output?.shortenDelay();
    const action = signalAction(signal, received);
    if (!received.includes(signal)) received.push(signal);
    actions[action](signal);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
