import { type HostPort } from '../base/address.js';

/** State of an engine that the rollout reads. */
export interface RolloutEngine {
  readonly id: string;
  readonly address: HostPort;
  /** In-flight requests of all gateways at the engine. */
  readonly inFlightRequests: number;
  readonly isDown: boolean;
  readonly version: number | undefined;
}

/** Gateway state that the rollout reads and updates. */
export interface RolloutGateway {
  /** Desired weights version of each model. */
  desiredVersions(): ReadonlyMap<string, number>;
  /** Engines that serve a model. */
  engines(model: string): readonly RolloutEngine[];
  /** Time since a peer last published that it changes weights. */
  sincePeerChangeMs(): number;
  /** Sets the engines that this process changes, which are also published to the peers. */
  setChangingEngines(ids: readonly string[]): void;
  onWeightsObserved(id: string, model: string, version: number): void;
  /** Another incarnation responds at the address of the engine. */
  onReplaced(id: string): void;
}
