/** Learns how many tokens requests generate in relation to the estimates of their callers. */
export interface OutputRatio {
  /** Tokens that a request with this estimate is expected to generate, a whole number. */
  correct(service: string, expectedTokens: number): number;
  /** Records a response that is whole. */
  observe(service: string, expectedTokens: number, generatedTokens: number): void;
}

/** Weight of one response: about the newest 50 count, whose lengths vary widely. */
const learningRate = 0.02;

/**
 * Bounds of the ratio. An engine may send several tokens in one event, which must not make responses
 * look shorter than estimated; a few very long responses must not double the memory of all others.
 */
const ratioRange = { min: 1, max: 2 };

/** A single response counts up to this multiple of its estimate. */
const maxSampleRatio = 4;

/** Services whose ratio is stored; the configuration lists a few. */
const maxServices = 256;

export function createOutputRatio(): OutputRatio {
  const byService = new Map<string, number>();
  return {
    correct(service, expectedTokens) {
      const ratio = byService.get(service) ?? ratioRange.min;
      return Math.ceil(expectedTokens * Math.min(ratioRange.max, Math.max(ratioRange.min, ratio)));
    },
    observe(service, expectedTokens, generatedTokens) {
      if (expectedTokens <= 0 || (byService.size >= maxServices && !byService.has(service))) return;
      const sample = Math.min(maxSampleRatio, generatedTokens / expectedTokens);
      const known = byService.get(service) ?? ratioRange.min;
      byService.set(service, known + (sample - known) * learningRate);
    },
  };
}
