import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type DeferralBacklog } from './deferral.js';

/** Counts the deferred requests of each route, and how often engines had room for one. */
export interface DeferralLoad {
  backlog(route: string): DeferralBacklog;
  /** The same without a change, for explanations. */
  peekBacklog(route: string): DeferralBacklog;
  /** Counts a request as deferred until the result is disposed. */
  defer(route: string): Disposable;
  /** Records that a deferred request was sent because engines had room. */
  recordRoom(route: string): void;
  /** Deferred requests of all routes. */
  readonly total: number;
}

/**
 * Time constant of the rate, in time in which requests were deferred: a burst lasts for seconds, and
 * a request waits for one or two.
 */
const timeConstantMs = 1_500;

/** Rate at which an engine is assumed to have room before any request was deferred, per second. */
const initialRoomPerEngine = 5;

const initialRoom = (enginesPerGateway: number): number =>
  (enginesPerGateway * initialRoomPerEngine * timeConstantMs) / 1_000;

interface RouteState {
  deferred: number;
  /** Decayed number of requests that found room. */
  room: number;
  updatedAt: number;
}

/** `enginesPerGateway`: engines of the site in relation to the gateways that share them. */
export function createDeferralLoad(clock: Clock, enginesPerGateway: () => number): DeferralLoad {
  const states = new Map<string, RouteState>();
  let total = 0;

  const stateOf = (route: string): RouteState => {
    const known = states.get(route);
    if (known) {
      // Without deferred requests nothing is learned about room for them.
      if (known.deferred > 0)
        known.room *= Math.exp((known.updatedAt - clock.now()) / timeConstantMs);
      known.updatedAt = clock.now();
      return known;
    }
    const state = { deferred: 0, room: initialRoom(enginesPerGateway()), updatedAt: clock.now() };
    states.set(route, state);
    return state;
  };

  return {
    get total() {
      return total;
    },
    backlog(route) {
      const { deferred, room } = stateOf(route);
      return { deferred, roomPerMs: room / timeConstantMs };
    },
    peekBacklog(route) {
      const { deferred, room, updatedAt } = states.get(route) ?? {
        deferred: 0,
        room: initialRoom(enginesPerGateway()),
        updatedAt: clock.now(),
      };
      const decay = deferred > 0 ? Math.exp((updatedAt - clock.now()) / timeConstantMs) : 1;
      return { deferred, roomPerMs: (room * decay) / timeConstantMs };
    },
    defer(route) {
      const state = stateOf(route);
      state.deferred += 1;
      total += 1;
      return toDisposable(() => {
        stateOf(route);
        state.deferred -= 1;
        total -= 1;
      });
    },
    recordRoom(route) {
      stateOf(route).room += 1;
    },
  };
}
