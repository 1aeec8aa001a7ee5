import { type TargetSpeedModel } from './targetspeeds.js';

/** Speeds of targets that are not learned: all targets of a service are equal and fill their slots. */
export function createEqualSpeeds(): TargetSpeedModel {
  return {
    factorOf: () => 1,
    limitOf: ({ registration }) => registration.slots,
    slownessOf: () => undefined,
    start: () => undefined,
    section: { key: 's', pack: () => undefined, merge: () => undefined },
    droppedSamples: 0,
    reports: () => [],
  };
}
