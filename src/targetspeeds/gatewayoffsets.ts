/**
 * Difference that this gateway sees at all targets of a service alike: its own speed model, its host
 * and its network. It is taken out of the samples before they are shared.
 */
export interface GatewayOffsets {
  /**
   * Returns the offset before the sample and learns from it.
   * @param residual logarithm of the duration relative to what was expected of the target
   */
  observe(service: string, residual: number, weight: number): number;
}

/** Weight of a sample for the first sample and for later ones. */
const initialLearningRate = 0.4;

const finalLearningRate = 0.05;

/** A sample counts as if it differed by at most this, so that a slow target moves the offset little. */
const maxStep = 0.3;

/** Bound of the offset: a larger difference is not one of the gateway. */
const maxOffset = 2;

export function createGatewayOffsets(): GatewayOffsets {
  const offsets = new Map<string, { readonly value: number; readonly evidence: number }>();
  return {
    observe(service, residual, weight) {
      const { value, evidence } = offsets.get(service) ?? { value: 0, evidence: 0 };
      const rate = Math.max(finalLearningRate, initialLearningRate / Math.sqrt(1 + evidence));
      const step = Math.max(-maxStep, Math.min(maxStep, residual - value)) * rate * weight;
      const next = Math.max(-maxOffset, Math.min(maxOffset, value + step));
      offsets.set(service, { value: next, evidence: evidence + weight });
      return value;
    },
  };
}
