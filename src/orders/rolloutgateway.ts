import { type HostPort } from '../base/address.js';

/** An engine as the roll-out needs it. */
export interface RolloutEngine {
  readonly id: string;
  readonly address: HostPort;
  /** Requests of all entries there. */
  readonly inFlightRequests: number;
  readonly isDown: boolean;
  readonly version: number | undefined;
}

/** What the roll-out reads from and tells to the gateway. */
export interface RolloutGateway {
  /** Models that the operator wants in a version. */
  desiredVersions(): ReadonlyMap<string, number>;
  /** Engines that serve a model. */
  engines(model: string): readonly RolloutEngine[];
  /** Time since another process said that it changes weights. */
  sincePeerChangeMs(): number;
  setChangingEngines(ids: readonly string[]): void;
  onWeightsObserved(id: string, model: string, version: number): void;
  /** Another run has the address of an engine. */
  onReplaced(id: string): void;
}
