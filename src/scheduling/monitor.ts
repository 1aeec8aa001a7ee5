import {
  type CancellationSource,
  type CancellationToken,
  createCancellationSource,
} from '../base/cancellation.js';
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
  /** Number of cache events received so far. */
  readonly eventsReceived: number;
  /**
   * Tells that the engine stored blocks since the given number of events; the stream is replaced
   * when no event follows.
   */
  expectCacheEvent(receivedBefore: number): void;
}

export interface MonitorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly cacheIndex: CacheIndex;
  /** Called after the state changed. */
  readonly onStateUpdate: (state: EngineState | undefined) => void;
}

const statePollIntervalMs = 250;

const stateTimeoutMs = 1_000;

const eventReconnectDelayMs = 100;

/** An open event stream that reports no stored blocks for this long counts as dead. */
const eventTimeoutMs = 3_000;

export function createEngineMonitor(options: MonitorOptions): EngineMonitor {
  const { clock, log, engine, cacheIndex, onStateUpdate } = options;
  const source = createCancellationSource();
  let state: EngineState | undefined;
  let load: LoadReport = { running: 0, waiting: 0 };
  let eventsReceived = 0;
  let eventTimer: Disposable | undefined;
  let eventStream: CancellationSource | undefined;

  const updateState = (next: EngineState | undefined): void => {
    const incarnationChanged = next?.incarnation !== state?.incarnation;
    if (next) cacheIndex.setIncarnation(next.incarnation, next.weightsVersion);
    else {
      cacheIndex.clear();
      // The engine may only have been slow to answer; a new stream brings its blocks back.
      eventStream?.cancel('engine is not reachable');
    }
    if (incarnationChanged)
      log.info({ incarnation: next?.incarnation ?? null }, 'engine incarnation changed');
    state = next;
    onStateUpdate(next);
  };

  const refresh = async (): Promise<void> => {
    const call = createCancellationSource(source.token);
    const timer = clock.setTimer(stateTimeoutMs, () => call.cancel('engine state timed out'));
    try {
      updateState(await engine.state(call.token));
      load = await engine.load(call.token);
    } catch (err) {
      // A call that is cut by the monitor's own end says nothing of the engine.
      if (source.token.isCancellationRequested) return;
      if (state) log.warn({ err: errMessage(err) }, 'engine is not reachable');
      updateState(undefined);
    } finally {
      timer.dispose();
      call.dispose();
    }
  };

  const pollState = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      await refresh();
      await sleep(clock, statePollIntervalMs, token);
    }
  };

  const readEvents = async (token: CancellationToken): Promise<void> => {
    while (!token.isCancellationRequested) {
      eventStream = createCancellationSource(token);
      try {
        for await (const event of engine.cacheEvents(eventStream.token)) {
          eventsReceived += 1;
          if (!cacheIndex.apply(event)) continue;
          log.info('gap in the cache events; opening a new stream for a snapshot');
          break;
        }
      } catch (err) {
        log.debug({ err: errMessage(err) }, 'cache event stream ended');
      }
      eventStream.dispose();
      cacheIndex.clear();
      await sleep(clock, eventReconnectDelayMs, token);
    }
  };

  pollState(source.token).catch(() => undefined);
  readEvents(source.token).catch(() => undefined);

  return {
    get state() {
      return state;
    },
    get load() {
      return load;
    },
    refresh,
    get eventsReceived() {
      return eventsReceived;
    },
    expectCacheEvent(receivedBefore) {
      if (eventTimer || eventsReceived !== receivedBefore) return;
      eventTimer = clock.setTimer(eventTimeoutMs, () => {
        eventTimer = undefined;
        if (eventsReceived !== receivedBefore) return;
        log.warn('cache event stream is silent; opening a new one');
        eventStream?.cancel('cache event stream is silent');
      });
    },
    dispose() {
      eventTimer?.dispose();
      source.cancel('monitor closed');
    },
  };
}
