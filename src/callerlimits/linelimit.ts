import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { createEventLog } from './eventlog.js';

/** Limits the log lines that callers outside the limits can cause. */
export interface LineLimit extends Disposable {
  /** Returns the logger for one line, or counts it by its kind and returns undefined. */
  pass(kind: string): Logger | undefined;
}

/** Lines a second, about a tenth of what a gateway logs under full load. */
const linesPerSecond = 50;

const windowMs = 1_000;

/** Creates a limit; lines that are left out are counted in one line a second with this message. */
export function createLineLimit(clock: Clock, log: Logger, message: string): LineLimit {
  const leftOut = createEventLog(clock, log, message);
  let windowStart = -Infinity;
  let lines = 0;
  return {
    pass(kind) {
      const now = clock.now();
      if (now - windowStart >= windowMs) {
        windowStart = now;
        lines = 0;
      }
      lines += 1;
      if (lines <= linesPerSecond) return log;
      leftOut.record(kind);
      return undefined;
    },
    dispose: () => leftOut.dispose(),
  };
}
