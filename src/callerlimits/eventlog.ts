import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';

/** Log of events that abusive callers can cause at any rate: one line an interval, with counts. */
export interface EventLog extends Disposable {
  record(kind: string): void;
}

/** Interval of the lines, so that they are a small part of a log of some hundred lines a second. */
const intervalMs = 1_000;

export function createEventLog(clock: Clock, log: Logger, message: string): EventLog {
  const counts = new Map<string, number>();
  let timer: Disposable | undefined;
  const write = (): void => {
    timer = undefined;
    log.warn({ counts: Object.fromEntries(counts) }, message);
    counts.clear();
  };
  return {
    record(kind) {
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
      timer ??= clock.setTimer(intervalMs, write);
    },
    dispose() {
      timer?.dispose();
    },
  };
}
