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

/** Monitors one engine: polls its state and load, and reads its cache events. */
export interface EngineMonitor extends Disposable {
  /** Latest state; undefined before the first one and while the engine is not reachable. */
  readonly state: EngineState | undefined;
  readonly load: LoadReport;
  /** Polls the state and the load immediately, for example after a failed request. */
  refresh(): Promise<void>;
  /** Number of cache events received so far. */
  readonly eventsReceived: number;
  /**
   * Reports that the engine stored blocks after `receivedBefore` events were received. Reopens the
   * event stream if no further event arrives in time.
   */
  expectCacheEvent(receivedBefore: number): void;
}

export interface MonitorOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly engine: EnginePort;
  readonly cacheIndex: CacheIndex;
  /** Called after each poll of the state, also if it is unchanged. */
  readonly onStateUpdate: (state: EngineState | undefined) => void;
}

const statePollIntervalMs = 250;

const stateTimeoutMs = 1_000;

const eventReconnectDelayMs = 100;

/** The event stream is reopened when no event follows stored blocks within this time. */
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
      // The engine may only have been slow to reply; a new stream begins with a snapshot.
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
      // A call that was cancelled because the monitor closed does not mean an unreachable engine.
      if (source.token.isCancellationRequested) return;
      if (state) log.warn({ err: errMessage(err) }, 'engine is not reachable; refusing requests');
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
          log.info('gap in the cache events; reopening the stream to receive a snapshot');
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
        log.warn('expected cache event did not arrive; reopening the stream');
        eventStream?.cancel('cache event stream timed out');
      });
    },
    dispose() {
      eventTimer?.dispose();
      source.cancel('monitor closed');
    },
  };
}
