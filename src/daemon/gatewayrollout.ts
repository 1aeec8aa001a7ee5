import { type DesiredWeightsHistory } from '../gateway/desiredweights.js';
import { type FailureTracker } from '../gateway/failuretracker.js';
import { type Peers } from '../gateway/peers.js';
import { type TargetDirectory } from '../gateway/targets.js';
import { startMarginMs } from '../gateway/weightsage.js';
import { type RolloutGateway } from '../orders/rolloutgateway.js';

export interface RolloutGatewayOptions {
  readonly directory: TargetDirectory;
  readonly failureTracker: FailureTracker;
  readonly peers: Peers;
  readonly desiredWeights: DesiredWeightsHistory;
  /** Time after which no request may begin on older weights, in milliseconds. */
  readonly deadlineMs: number;
  /** Receives the targets that change their weights; others must not change it. */
  readonly changingTargetIds: Set<string>;
}

/** Connects the rollout of weights with the targets and the peers of a gateway. */
export function createRolloutGateway(options: RolloutGatewayOptions): RolloutGateway {
  const { directory, failureTracker, peers, desiredWeights, changingTargetIds } = options;

  /** Time until the engine may not begin requests any more, because of its version. */
  const remainingMs = (model: string, version: number | undefined): number => {
    const superseded =
      version === undefined ? undefined : desiredWeights.superseded(model, version);
    return superseded ? options.deadlineMs - startMarginMs - superseded.minMs : Infinity;
  };

  return {
    desiredVersions: () => desiredWeights.newest,
    engines: (model) =>
      directory.all
        .filter(({ isLeaving, registration }) => !isLeaving && registration.weights.has(model))
        .map((target) => {
          const version = target.weights.version(model);
          return {
            id: target.id,
            address: target.registration.address,
            inFlightRequests: target.inFlight.requests + peers.inFlight(target.id).requests,
            isDown: failureTracker.isDown(target),
            version,
            remainingMs: remainingMs(model, version),
          };
        }),
    sinceWeightsChangeMs: () => peers.sinceWeightsChangeMs(),
    observeReplacement(id) {
      const target = directory.find(id);
      if (target) failureTracker.observe(target, 'replaced');
    },
    setChangingEngines(ids) {
      // At the start of a change and at its end, for runs that began in between.
      for (const id of new Set([...changingTargetIds, ...ids]))
        directory.find(id)?.weights.observeOrder();
      changingTargetIds.clear();
      for (const id of ids) changingTargetIds.add(id);
      peers.publishChangingTargets(ids);
    },
    observeWeights(id, model, version) {
      directory.find(id)?.weights.observe(model, version);
      peers.publishWeightsChange({ targetId: id, model, version });
    },
  };
}
