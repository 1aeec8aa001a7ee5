import { type HostPort } from '../base/address.js';

/** State of an engine that the rollout reads. */
export interface RolloutEngine {
  readonly id: string;
  readonly address: HostPort;
  /** In-flight requests of all gateways at the engine. */
  readonly inFlightRequests: number;
  readonly isDown: boolean;
  readonly version: number | undefined;
  /** Time until its weights are too old to be used, in milliseconds; Infinity for the desired ones. */
  readonly remainingMs: number;
}

/** Gateway state that the rollout reads and updates. */
export interface RolloutGateway {
  /** Desired weights version of each model. */
  desiredVersions(): ReadonlyMap<string, number>;
  /** Engines that serve a model. */
  engines(model: string): readonly RolloutEngine[];
  /** Time since a peer last reported that any engine changes its weights, in milliseconds. */
  sinceWeightsChangeMs(): number;
  /** Sets the engines whose weights this process changes, and publishes them to the peers. */
  setChangingEngines(ids: readonly string[]): void;
  /** Records the weights that an engine reported, and publishes them to the peers. */
  observeWeights(id: string, model: string, version: number): void;
  /** Records that another incarnation responds at the address of the engine. */
  observeReplacement(id: string): void;
}
