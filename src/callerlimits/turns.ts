/** Order in which the requests of one connection are served. */
export interface Turn {
  /** Undefined when the turn has come; resolves with false when it does not come any more. */
  readonly wait: Promise<boolean> | undefined;
  /** Records that the whole response, of this length, waits for the caller to read it. */
  complete(bytes: number): void;
  /** Records that the response has left the process or the connection is closed. */
  end(): void;
}

/** Turns of all connections. */
export interface Turns {
  /** Requests whose turn has not come. */
  readonly waiting: number;
  /** Bytes of complete responses that have not left the process. */
  readonly unreadBytes: number;
  /** Adds a request behind the previous one of its connection. */
  add(previous: Turn | undefined): Turn;
  /** Gives turns that were held back because of unread responses, if these have become fewer. */
  proceed(): void;
  /** The turns of requests that wait do not come any more. */
  endAll(): void;
}

interface State {
  hasTurn: boolean;
  isComplete: boolean;
  hasEnded: boolean;
  hasPassed: boolean;
  unreadBytes: number;
  /** Tells the next request of the connection that its turn has come. */
  next: (() => void) | undefined;
}

/**
 * Requests of a connection run one after another: a response can't be sent before the earlier ones,
 * so running it early only fills memory. While callers leave more than `maxUnreadBytes` unread, a
 * request waits until the earlier responses of its connection have left the process.
 */
export function createTurns(maxUnreadBytes: number): Turns {
  const states = new WeakMap<Turn, State>();
  const waiting = new Map<State, (hasTurn: boolean) => void>();
  const heldBack = new Set<State>();
  let unreadBytes = 0;
  let isOver = false;

  const pass = (state: State): void => {
    if (state.hasPassed || !state.hasTurn || !state.isComplete) return;
    if (!state.hasEnded && unreadBytes > maxUnreadBytes) {
      heldBack.add(state);
      return;
    }
    heldBack.delete(state);
    state.hasPassed = true;
    state.next?.();
  };

  const receive = (state: State, hasTurn: boolean): void => {
    const resolve = waiting.get(state);
    if (!resolve) return;
    waiting.delete(state);
    state.hasTurn = true;
    resolve(hasTurn);
    pass(state);
  };

  return {
    get waiting() {
      return waiting.size;
    },
    get unreadBytes() {
      return unreadBytes;
    },
    add(previous) {
      const before = previous && states.get(previous);
      const isFirst = !before || before.hasPassed;
      let resolveWait: (hasTurn: boolean) => void = () => undefined;
      const wait =
        isFirst || isOver
          ? undefined
          : new Promise<boolean>((resolve) => {
              resolveWait = resolve;
            });
      const state: State = {
        hasTurn: wait === undefined,
        isComplete: false,
        hasEnded: false,
        hasPassed: false,
        unreadBytes: 0,
        next: undefined,
      };
      const turn: Turn = {
        wait,
        complete(bytes) {
          if (state.isComplete) return;
          state.isComplete = true;
          state.unreadBytes = bytes;
          unreadBytes += bytes;
          pass(state);
        },
        end() {
          if (state.hasEnded) return;
          state.hasEnded = true;
          state.isComplete = true;
          unreadBytes -= state.unreadBytes;
          state.unreadBytes = 0;
          receive(state, false);
          pass(state);
        },
      };
      states.set(turn, state);
      if (wait) {
        waiting.set(state, resolveWait);
        if (before) before.next = () => receive(state, true);
      }
      return turn;
    },
    proceed() {
      for (const state of [...heldBack]) pass(state);
    },
    endAll() {
      isOver = true;
      for (const state of [...waiting.keys()]) receive(state, false);
    },
  };
}
