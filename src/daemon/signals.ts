export type StopSignal = 'SIGTERM' | 'SIGINT';

export interface ReceivedSignal {
  readonly signal: StopSignal | 'SIGHUP';
  /** Time on the monotonic clock in milliseconds. */
  readonly at: number;
}

/** Signals of this process; those that come before `listen` wait for it. */
export interface SignalQueue {
  /** A SIGTERM or SIGINT was received. */
  readonly isStopRequested: boolean;
  /** Calls the handler for the signals received so far, and for each later one. */
  listen(handler: (received: ReceivedSignal) => void): void;
}

const signalNames = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** Replaces the default action of the signals, which ends the process. */
export function createSignalQueue(): SignalQueue {
  let waiting: ReceivedSignal[] = [];
  let isStopRequested = false;
  let deliver = (received: ReceivedSignal): void => {
    waiting.push(received);
  };
  for (const signal of signalNames) {
    process.on(signal, () => {
      if (signal !== 'SIGHUP') isStopRequested = true;
      deliver({ signal, at: performance.now() });
    });
  }
  return {
    get isStopRequested() {
      return isStopRequested;
    },
    listen(handler) {
      deliver = handler;
      const received = waiting;
      waiting = [];
      for (const each of received) handler(each);
    },
  };
}
