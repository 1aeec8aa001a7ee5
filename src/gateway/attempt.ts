import { type IncomingMessage } from 'node:http';
import { type Clock } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type TargetHead, type WireProtocol } from '../ports/wire.js';
import { type Answer } from './answer.js';
import { createEventSplitter } from './events.js';
import { type Exchange, type ExchangeRequest } from './exchange.js';
import { type Target } from './targets.js';

/**
 * How an attempt ended. `not-run` is certain; `failed` means that the request may have run, with the
 * target's own answer where it gave one; `broken` means that the caller has a part of the answer.
 */
export type AttemptEnd =
  | { readonly kind: 'done' }
  | { readonly kind: 'left' }
  | { readonly kind: 'not-run'; readonly cause: NotRunCause; readonly head?: TargetHead }
  | { readonly kind: 'failed'; readonly cause: string; readonly kept?: KeptAnswer }
  | { readonly kind: 'broken'; readonly cause: string };

/** Why a target did not run a request. */
export type NotRunCause = 'unreachable' | 'full' | 'misdirected';

/** A failure that a target answered, kept in case no other target does better. */
export interface KeptAnswer {
  readonly res: IncomingMessage;
  readonly body: Buffer;
}

/** What the attempts of one request share. */
export interface Progress {
  /** Id of the last event that the caller has. */
  lastEventId: string | undefined;
  /** Events went to the caller. */
  hasEvents: boolean;
  /** When the last event went to the caller. */
  lastEventAt: number;
  /** Longest time between two events, in milliseconds; callers count longer ones as late. */
  longestPauseMs: number;
}

export interface AttemptOptions {
  readonly clock: Clock;
  readonly protocol: WireProtocol;
  readonly target: Target;
  readonly request: ExchangeRequest;
  readonly requestId: string;
  readonly isStream: boolean;
  /** The request may run again elsewhere, so a target that hangs can be given up. */
  readonly isRepeatable: boolean;
  /** A copy of the run is kept elsewhere, so a stream that has begun can go on there. */
  readonly hasBackup: boolean;
  readonly answer: Answer;
  readonly progress: Progress;
  /** Time until the caller's deadline or the route's timeout, in milliseconds. */
  readonly remainingMs: number;
  /** Silence after which a connection tests whether the target is there at all. */
  readonly silenceMs: number;
  /**
   * Silence after which a repeatable request moves on although the target is there, if the target
   * answers others: where it answers nobody, it is crowded, and so are the others.
   */
  readonly hangMs: number;
  /** Prompt tokens that the target is expected to read. */
  readonly tokens: number;
  onHead(head: TargetHead): void;
  onFirstByte(): void;
}

/** A running attempt. */
export interface Attempt {
  readonly ended: Promise<AttemptEnd>;
  /** The caller left; the target stops its work. */
  leave(): void;
}

/**
 * Most bytes of an answer that are kept: the part of a plain answer that goes to the caller only
 * once it is known to be whole, a failure, and an event without its end. Events of the sheets have
 * up to 390 bytes. A target in trouble sends bytes without end until its connection is closed.
 */
const maxHeldBytes = 262_144;

/** Requests that are sent this close to each other may be answered in any order. */
const overtakeMs = 250;

/** Least time between two looks at a silent target. */
const minCheckMs = 150;

const notRunStatuses: Readonly<Record<number, NotRunCause>> = {
  421: 'misdirected',
  429: 'full',
  503: 'full',
  400: 'misdirected',
};

/** Sends a request to one target and passes its answer on. */
export function startAttempt(options: AttemptOptions): Attempt {
  const { clock, protocol, target, requestId, answer, progress, isStream } = options;
  const splitter = createEventSplitter();
  const run = target.startRequest(options.tokens);
  const timers: Disposable[] = [];
  const startedAt = clock.now();
  let heardAt = startedAt;
  let res: IncomingMessage | undefined;
  let head: TargetHead | undefined;
  let held: Buffer[] = [];
  let heldBytes = 0;
  let isPassing = false;
  let settle: (end: AttemptEnd) => void = () => undefined;
  let isEnded = false;
  const ended = new Promise<AttemptEnd>((resolve) => {
    settle = resolve;
  });
  const exchange: { current?: Exchange } = {};

  const end = (result: AttemptEnd): void => {
    if (isEnded) return;
    isEnded = true;
    for (const timer of timers) timer.dispose();
    run.dispose();
    exchange.current?.abort();
    settle(result);
  };

  const fail = (cause: string): void => {
    if (progress.hasEvents || isPassing) end({ kind: 'broken', cause });
    else end({ kind: 'failed', cause });
  };

  const pass = (chunk: Buffer): void => {
    if (answer.write(chunk)) return;
    exchange.current?.pause();
    answer.onDrain(() => exchange.current?.resume());
  };

  const passHeld = (): void => {
    if (!res) return;
    if (!answer.isBegun) answer.begin(res);
    isPassing = true;
    for (const chunk of held) pass(chunk);
    held = [];
    heldBytes = 0;
  };

  const onEvents = (chunk: Buffer): void => {
    const batch = splitter.push(chunk);
    if (splitter.pendingBytes > maxHeldBytes) {
      fail(`event has no end within ${maxHeldBytes} bytes`);
      return;
    }
    if (!batch) return;
    run.markPrefilled();
    if (!progress.hasEvents) options.onFirstByte();
    if (!answer.isBegun && res) answer.begin(res);
    const now = clock.now();
    if (progress.hasEvents)
      progress.longestPauseMs = Math.max(progress.longestPauseMs, now - progress.lastEventAt);
    progress.lastEventAt = now;
    progress.hasEvents = true;
    progress.lastEventId = batch.lastId ?? progress.lastEventId;
    pass(batch.bytes);
  };

  const onHead = (message: IncomingMessage): void => {
    res = message;
    heardAt = clock.now();
    target.observeResponseStart(startedAt);
    head = protocol.readTarget(message.headers);
    const isOther = head.requestId !== undefined && head.requestId !== requestId;
    if (isOther || head.isEncoded) {
      fail(isOther ? 'answer belongs to another request' : 'answer is encoded');
      return;
    }
    options.onHead(head);
    const status = message.statusCode ?? 0;
    const cause = notRunStatuses[status];
    if (cause && (head.isNotRun || status === 421)) {
      end({ kind: 'not-run', cause, head });
      return;
    }
    if (!head.isSigned) fail(`answer ${status} is not signed`);
  };

  const isOk = (): boolean => {
    const status = res?.statusCode ?? 0;
    return status >= 200 && status < 300;
  };

  const onData = (chunk: Buffer): void => {
    heardAt = clock.now();
    if (isStream && isOk()) {
      onEvents(chunk);
      return;
    }
    if (isPassing) {
      pass(chunk);
      return;
    }
    held.push(chunk);
    heldBytes += chunk.length;
    if (heldBytes <= maxHeldBytes) return;
    if (isOk()) passHeld();
    else fail(`failure has no end within ${maxHeldBytes} bytes`);
  };

  const onEnd = (): void => {
    if (!res) return;
    if (!isOk()) {
      end({
        kind: 'failed',
        cause: `answer ${res.statusCode}`,
        kept: { res, body: Buffer.concat(held) },
      });
      return;
    }
    if (isStream) {
      if (splitter.pendingBytes > 0) {
        fail('stream ended within an event');
        return;
      }
      if (!answer.isBegun) answer.begin(res);
    } else if (!isPassing) passHeld();
    answer.end();
    end({ kind: 'done' });
  };

  const onFailure = (err: Error, isSent: boolean): void => {
    if (!isSent) end({ kind: 'not-run', cause: 'unreachable' });
    else fail(err.message);
  };

  /** True when the target has begun to answer requests that came clearly later than this one. */
  const isOvertaken = (): boolean =>
    res !== undefined || target.newestRespondedSentAt - startedAt > overtakeMs;

  /**
   * Gives up a request that can go on elsewhere at a target that is gone or hangs. A target that loads weights or
   * reads a long prompt is silent too, so silence alone says nothing while it accepts connections.
   */
  const checkSilence = async (): Promise<void> => {
    const silentMs = clock.now() - heardAt;
    // Before the first event only a request that may run elsewhere gains by moving on.
    const mayHang = options.isRepeatable || progress.hasEvents;
    if (mayHang && silentMs >= options.hangMs && isOvertaken()) {
      fail(`no byte came for ${Math.round(silentMs)} ms`);
      return;
    }
    const isSilent = silentMs >= options.silenceMs;
    const isHeard = target.connections.silentMs() < options.silenceMs;
    if (isSilent && !isHeard && !(await target.connections.probe())) {
      fail('target accepts no connections');
      return;
    }
    if (isEnded) return;
    const waitMs = Math.max(minCheckMs, options.silenceMs - (clock.now() - heardAt));
    timers.push(clock.setTimer(waitMs, scheduleCheck));
  };

  function scheduleCheck(): void {
    checkSilence().catch((err: unknown) => fail(errMessage(err)));
  }

  timers.push(clock.setTimer(options.remainingMs, () => fail('time is over')));
  if (options.isRepeatable || options.hasBackup)
    timers.push(clock.setTimer(options.silenceMs, scheduleCheck));
  exchange.current = target.connections.start(options.request, {
    onHead,
    onData,
    onEnd,
    onFailure,
  });
  return { ended, leave: () => end({ kind: 'left' }) };
}
