import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { type PromptPart } from '../ports/wire.js';
import { type RequestContent } from '../quarantine/content.js';
import { type ResponseStage } from './attemptend.js';
import { type Target } from './targets.js';

/** A request whose connection to its target was lost. */
export interface LostRequest {
  readonly requestId: string;
  readonly parts: readonly PromptPart[];
  readonly content: RequestContent;
  readonly stage: ResponseStage;
  /** An earlier attempt was lost in another crash. */
  readonly isLostAgain: boolean;
}

/** The end of one incarnation of a target, with the requests of this process that it took along. */
export interface Crash {
  readonly target: Target;
  readonly requests: readonly LostRequest[];
}

/** Tells crashes of targets from connections that were lost for another reason. */
export interface CrashDetector {
  /** Resolves to true when the target crashed, once `onCrash` was called. */
  observeLoss(target: Target, request: LostRequest): Promise<boolean>;
}

export interface CrashDetectorOptions {
  readonly log: Logger;
  onCrash(crash: Crash): void;
}

/** Requests named in one log line; an overloaded engine may lose hundreds. */
const maxLoggedRequests = 32;

/**
 * A crashed target accepts no connections for seconds, so a connection that is tried as soon as one
 * was lost tells whether the target crashed or only that connection broke. All requests that are
 * lost until the result is known belong to the same crash. A target that leaves ends by itself.
 */
export function createCrashDetector({ log, onCrash }: CrashDetectorOptions): CrashDetector {
  const pending = new Map<Target, { readonly requests: LostRequest[]; result: Promise<boolean> }>();

  const check = async (target: Target, requests: readonly LostRequest[]): Promise<boolean> => {
    const { connections } = target;
    // A lost packet delays a connection by more than the timeout of a probe.
    const isAlive = (await connections.probeAnew()) || (await connections.probeAnew());
    pending.delete(target);
    if (isAlive || target.isLeaving) return false;
    const notUnderway = requests.filter(({ stage }) => stage !== 'underway');
    log.warn(
      {
        target: target.id,
        service: target.registration.service,
        lost: requests.length,
        notUnderway: notUnderway
          .slice(0, maxLoggedRequests)
          .map(({ requestId, stage, parts, content }) => ({
            requestId,
            stage,
            content: content.id,
            parts: parts.map(({ id }) => id),
          })),
      },
      'target crashed',
    );
    onCrash({ target, requests });
    return true;
  };

  return {
    observeLoss(target, request) {
      const known = pending.get(target);
      if (known) {
        known.requests.push(request);
        return known.result;
      }
      const requests = [request];
      const result = check(target, requests).catch((err: unknown) => {
        log.error({ target: target.id, err: errMessage(err) }, 'failed to record a crash');
        return false;
      });
      pending.set(target, { requests, result });
      return result;
    },
  };
}
