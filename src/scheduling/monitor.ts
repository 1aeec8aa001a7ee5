import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type EnginePort, type EngineState, type LoadReport } from '../ports/engine.js';
import { type CacheIndex } from './cacheindex.js';

/** Follows one engine: its state, its cache events and its load reports. */
export interface EngineMonitor extends Disposable {
  /** Newest state, or undefined while the engine is not reachable. */
  readonly state: EngineState | undefined;
  readonly load: LoadReport;
  /** Reads the state at once, for example after a failed request. */
  refresh(): Promise<void>;
}

export interface MonitorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly index: CacheIndex;
  /** Called after the state changed. */
  readonly onChange: (state: EngineState | undefined) => void;
}

const stateIntervalMs = 250;

const stateTimeoutMs = 1_000;

const eventReconnectMs = 100;

export function createEngineMonitor(options: MonitorOptions): EngineMonitor {
  const { clock, log, engine, index, onChange } = options;
  const source = createCancellationSource();
  let state: EngineState | undefined;
  let load: LoadReport = { running: 0, waiting: 0 };

  const updateState = (next: EngineState | undefined): void => {
    const restarted = next?.incarnation !== state?.incarnation;
    if (next) index.expect(next.incarnation, next.weightsVersion);
    else index.clear();
    if (restarted)
      log.info({ incarnation: next?.incarnation ?? null }, 'engine incarnation changed');
    state = next;
    onChange(next);
  };

  const refresh = async (): Promise<void> => {
    const call = createCancellationSource(source.token);
    const timer = clock.setTimer(stateTimeoutMs, () => call.cancel('engine state timed out'));
    try {
      updateState(await engine.state(call.token));
      load = await engine.load(call.token);
    } catch (err) {
      if (state) log.warn({ err: errMessage(err) }, 'engine is not reachable');
      updateState(undefined);
    } finally {
      timer.dispose();
      call.dispose();
    }
  };

  const followState = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      await refresh();
      await sleep(clock, stateIntervalMs, token);
    }
  };

  const followEvents = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      try {
        for await (const event of engine.cacheEvents(token)) index.apply(event);
      } catch (err) {
        log.debug({ err: errMessage(err) }, 'cache event stream ended');
      }
      index.clear();
      await sleep(clock, eventReconnectMs, token);
    }
  };

  followState(source.token).catch(() => undefined);
  followEvents(source.token).catch(() => undefined);

  return {
    get state() {
      return state;
    },
    get load() {
      return load;
    },
    refresh,
    dispose: () => source.cancel('monitor closed'),
  };
}
