import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type RequestContent } from '../quarantine/content.js';
import { type Quarantined } from '../quarantine/quarantine.js';
import { type BufferedResponse, type Progress } from './attemptend.js';
import { type CallResult, type GatewayCall } from './calls.js';
import { type Placement } from './placement.js';
import { type CallerResponse, type LocalResponse } from './response.js';
import { remainingMs } from './sender.js';
import { type Target } from './targets.js';

/** What is known of a request while it is dispatched. */
export interface DispatchState {
  readonly progress: Progress;
  /** Targets that may have run the request. */
  readonly ranOn: Set<Target>;
  attempts: number;
  firstByteMs: number | undefined;
  sentAfterMs: number | undefined;
  /** Failure response of a target, passed on when no other target succeeds. */
  failureResponse: BufferedResponse | undefined;
  lastPlacement: Placement | undefined;
}

/** Ends one request: the caller gets its last bytes, and the result is for the log and the metrics. */
export interface Endings {
  finish(outcome: CallResult['outcome']): CallResult;
  /** Ends a request for which no further attempt is possible, or none for a known time. */
  finishUnserved(waitMs?: number): CallResult;
  /** Ends a request that is not sent, because its callers may come back later. */
  finishRefused(kind: 'overloaded' | 'not-ready' | 'exceeds-memory', waitMs?: number): CallResult;
  /** Ends a request whose content is quarantined; its callers learn whether it may have run. */
  finishQuarantined(held: Quarantined): CallResult;
}

export interface EndingOptions {
  readonly log: Logger;
  readonly random: Random;
  readonly call: GatewayCall;
  readonly content: RequestContent;
  readonly state: DispatchState;
  /** Called once, before the result is returned. */
  onFinish(): void;
}

/** A request with less time left is not sent: it takes 40 ms even on an idle target. */
export const minRemainingMs = 20;

/** Retry-After of responses; a random part spreads the retries of callers. */
const minRetryAfterMs = 150;

const retryAfterSpreadMs = 350;

/** Forwards the failure response of a target to the caller. */
function forwardFailure(response: CallerResponse, { res, body }: BufferedResponse): void {
  const writer = response.openWriter(undefined);
  if (!writer.begin(res, false)) return;
  if (body.length > 0) writer.write(body);
  writer.end();
}

export function createEndings(options: EndingOptions): Endings {
  const { log, random, call, content, state } = options;
  const { response, token } = call;
  const retryAfterMs = (): number => minRetryAfterMs + random.next() * retryAfterSpreadMs;

  const finish = (outcome: CallResult['outcome']): CallResult => {
    options.onFinish();
    state.failureResponse?.dispose();
    const { attempts, firstByteMs, sentAfterMs, lastPlacement, progress } = state;
    return {
      outcome,
      attempts,
      target: lastPlacement?.target.id,
      placement: lastPlacement && {
        weightsVersion: lastPlacement.weightsVersion,
        tokensToRead: lastPlacement.prefillTokens,
        expectedMs: Math.round(lastPlacement.expectedMs),
        fetchFrom: lastPlacement.fetchFrom?.host,
        heldTokens: lastPlacement.memory?.heldTokens,
        memoryTokens: lastPlacement.memory?.memoryTokens,
      },
      firstByteMs,
      sentAfterMs,
      longestPauseMs: progress.longestPauseMs,
    };
  };

  const finishUnserved = (waitMs = 0): CallResult => {
    if (token.isCancellationRequested) return finish('left');
    if (response.hasStarted) {
      response.abort();
      return finish('broken');
    }
    if (state.failureResponse) {
      forwardFailure(response, state.failureResponse);
      return finish('passed-failure');
    }
    const isTimedOut = remainingMs(call) < minRemainingMs;
    const mayHaveRun = state.ranOn.size > 0;
    const wasRefused = state.attempts > 0 || waitMs > 0;
    const notRunKind: LocalResponse = wasRefused ? 'overloaded' : 'no-target';
    const kind: LocalResponse = mayHaveRun ? (isTimedOut ? 'timed-out' : 'failed') : notRunKind;
    response.sendLocal(kind, waitMs + retryAfterMs());
    return finish(kind);
  };

  return {
    finish,
    finishUnserved,
    finishRefused(kind, waitMs) {
      if (state.ranOn.size > 0 || response.hasStarted) return finishUnserved();
      response.sendLocal(kind, waitMs ?? retryAfterMs());
      return finish(kind);
    },
    finishQuarantined({ partIds, crashes, retryAfterMs: waitMs }) {
      log.info(
        {
          requestId: call.head.requestId,
          content: content.id,
          parts: partIds,
          crashes,
          attempts: state.attempts,
          retryAfterMs: waitMs,
        },
        'request was not sent because it or a part of its prompt is quarantined',
      );
      if (state.ranOn.size > 0 || response.hasStarted) return finishUnserved();
      response.sendLocal('quarantined', waitMs);
      return finish('quarantined');
    },
  };
}
