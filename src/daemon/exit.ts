import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type LogStream } from '../base/logstream.js';
import { type DaemonProcess } from './process.js';
import { type SignalQueue, type StopSignal } from './signals.js';

/** Exit codes of the daemon. */
export const exitCodes = { ok: 0, failed: 1, usage: 2, settings: 3, interrupted: 4 } as const;

/** Log output that is written in the background. */
export type LogOutput = Pick<LogStream, 'shortenDelay' | 'flush'>;

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

/** Ends the process once the last log lines are written. */
export function exitAfterFlush(code: number, output?: LogOutput): void {
  const end = (): void => process.exit(code);
  if (output) output.flush(flushMs).then(end, end);
  else end();
}

export interface SignalOptions {
  readonly daemon: DaemonProcess;
  readonly log: Logger;
  readonly signals: SignalQueue;
  readonly output?: LogOutput;
  readonly settingsPath: string;
  /** Reads and validates the settings; throws when they are invalid. */
  readSettings(path: string): unknown;
}

/**
 * Drains the process on the first SIGTERM or SIGINT; see {@link signalAction} for later ones. On
 * SIGHUP only validates the settings: changed settings apply after a restart.
 */
export function handleSignals(options: SignalOptions): void {
  const { daemon, log, signals, output, settingsPath: path } = options;
  const received: StopSignal[] = [];
  let isInterrupted = false;
  const actions: Readonly<Record<SignalAction, (signal: StopSignal, at: number) => void>> = {
    drain(signal, at) {
      log.info({ signal, active: daemon.active }, 'draining before shutdown');
      daemon.drain(performance.now() - at).then(
        () => exitAfterFlush(isInterrupted ? exitCodes.interrupted : exitCodes.ok, output),
        (err: unknown) => {
          log.error({ err: errMessage(err) }, 'shutdown failed');
          exitAfterFlush(exitCodes.failed, output);
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
      isInterrupted = true;
      const cut = daemon.stop();
      log.warn({ signal, cut }, 'second SIGINT received; exiting immediately');
      setTimeout(() => exitAfterFlush(exitCodes.interrupted, output), interruptMs);
    },
  };
  const reload = (): void => {
    try {
      options.readSettings(path);
      log.info({ path }, 'settings were read again; they take effect at the next start');
    } catch (err) {
      log.error(
        { path, err: errMessage(err) },
        'settings are invalid; the process keeps its current settings',
      );
    }
  };
  signals.listen(({ signal, at }) => {
    if (signal === 'SIGHUP') {
      reload();
      return;
    }
    output?.shortenDelay();
    const action = signalAction(signal, received);
    if (!received.includes(signal)) received.push(signal);
    actions[action](signal, at);
  });
}
