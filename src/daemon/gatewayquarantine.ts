import { type CancellationToken } from '../base/cancellation.js';
import { type Clock } from '../base/clock.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { createCrashDetector, type CrashDetector } from '../gateway/crashes.js';
import { type FailureTracker } from '../gateway/failuretracker.js';
import { type TablePort } from '../ports/table.js';
import { createEvidence } from '../quarantine/evidence.js';
import { createQuarantine, type Quarantine } from '../quarantine/quarantine.js';
import { createEvidenceShare, type EvidenceHint } from '../quarantine/share.js';
import { type StoreEras } from '../storeera/eras.js';

/** Quarantine of prompt parts that crash engines, with its sources of evidence. */
export interface GatewayQuarantine extends Disposable {
  readonly quarantine: Quarantine;
  readonly crashDetector: CrashDetector;
  /** Evidence for the next hint. */
  packEvidence(): EvidenceHint | undefined;
  mergeEvidence(hint: EvidenceHint): void;
}

export interface GatewayQuarantineOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly table: TablePort;
  readonly eras: Pick<StoreEras, 'current'>;
  readonly failureTracker: FailureTracker;
  readonly holdMs: number;
  readonly token: CancellationToken;
  requestHint(): void;
  onCrash(service: string): void;
}

export function createGatewayQuarantine(options: GatewayQuarantineOptions): GatewayQuarantine {
  const { clock, log, failureTracker } = options;
  const evidence = createEvidence(clock);
  const share = createEvidenceShare({ clock, evidence, requestHint: options.requestHint });
  const quarantine = createQuarantine({ ...options, evidence, share });
  const crashDetector = createCrashDetector({
    log,
    onCrash({ target, requests }) {
      options.onCrash(target.registration.service);
      failureTracker.observe(target, 'unreachable');
      const begun = requests.filter(({ stage }) => stage === 'head');
      const waiting = requests.filter(({ stage }) => stage === 'waiting');
      // An engine sends the head when it begins to write, so these requests are the suspects if any.
      const suspects = begun.length > 0 ? begun : waiting;
      const lostAgain = suspects.filter(({ isLostAgain }) => isLostAgain);
      quarantine.observeCrash(
        target.id,
        suspects.map(({ content }) => content),
        new Set(lostAgain.map(({ content }) => content.id)),
      );
    },
  });
  return {
    quarantine,
    crashDetector,
    dispose: () => share.dispose(),
    packEvidence: () => share.pack(),
    mergeEvidence(hint) {
      const { suspected, cleared } = share.merge(hint);
      quarantine.release(cleared);
      quarantine.recheck(suspected);
    },
  };
}
