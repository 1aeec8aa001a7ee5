import { type HintSection, type HintSender } from '../gateway/peers.js';

/** Sample of one gateway that its peers use as well. */
export interface SharedSample {
  readonly targetId: string;
  /** Distinguishes the runs of a target; see `incarnationTag`. */
  readonly tag: number;
  /** Logarithm of the duration relative to the expected one, without what all targets share. */
  readonly logRatio: number;
  /** Requests at the target including the observed one. */
  readonly concurrency: number;
  /** Weight from 0 to 1; 0 when only the reported slowness is of use. */
  readonly weight: number;
  /** Momentary duration of work that the target reported, relative to its usual one. */
  readonly slowness: number;
}

/** Sends samples once: a lost one is a sample less. */
export interface SampleExchange extends HintSection {
  /** Samples that were not sent because too many waited. */
  readonly dropped: number;
  publish(sample: SharedSample): void;
}

/**
 * Samples in one hint, about 500 bytes. A gateway has about ten responses a second and sends as many
 * hints, so a hint seldom has more than three.
 */
const maxSamples = 16;

/** A sample waits for a hint for at most this many others; without peers none is sent. */
const maxWaiting = 2 * maxSamples;

/** Peers of which the newest sample number is kept; more than the largest known fleet. */
const maxSenders = 256;

/** Bounds of values from the network. */
const maxLogRatio = 3;

const maxConcurrency = 100_000;

const maxSlowness = 100;

/** Logarithms, weights and slowness are sent as integers in hundredths. */
const hundredths = 100;

const tagModulus = 1_000_000;

/** Short identity of a run of a target, from its start in Unix milliseconds. */
export const incarnationTag = (startedAt: number): number => Math.floor(startedAt) % tagModulus;

const within = (value: unknown, min: number, max: number): value is number =>
  typeof value === 'number' && value >= min && value <= max;

/** Reads one sample from the network; undefined when a value is outside its bounds. */
function readSample(item: unknown): SharedSample | undefined {
  if (!Array.isArray(item)) return undefined;
  const [targetId, tag, logRatio, concurrency, weight, slowness] = item as readonly unknown[];
  if (typeof targetId !== 'string' || !within(tag, 0, tagModulus)) return undefined;
  if (!within(logRatio, -maxLogRatio * hundredths, maxLogRatio * hundredths)) return undefined;
  if (!within(concurrency, 1, maxConcurrency) || !within(weight, 0, hundredths)) return undefined;
  if (!within(slowness, hundredths, maxSlowness * hundredths)) return undefined;
  return {
    targetId,
    tag,
    logRatio: logRatio / hundredths,
    concurrency,
    weight: weight / hundredths,
    slowness: slowness / hundredths,
  };
}

const packSample = (sample: SharedSample): readonly (string | number)[] => [
  sample.targetId,
  sample.tag,
  Math.round(sample.logRatio * hundredths),
  sample.concurrency,
  Math.round(sample.weight * hundredths),
  Math.round(Math.min(maxSlowness, Math.max(1, sample.slowness)) * hundredths),
];

/** Creates the hint section `s`: number of the first sample, then the samples. */
export function createSampleExchange(onSample: (sample: SharedSample) => void): SampleExchange {
  const newest = new Map<string, { readonly incarnation: number; readonly number: number }>();
  let waiting: readonly SharedSample[] = [];
  let sent = 0;
  let dropped = 0;

  /** True for samples that are not yet known; duplicates and those that arrive late are not used. */
  const isNew = ({ instance, incarnation }: HintSender, first: number, count: number): boolean => {
    const known = newest.get(instance);
    if (known && incarnation < known.incarnation) return false;
    if (known?.incarnation === incarnation && first <= known.number) return false;
    newest.delete(instance);
    newest.set(instance, { incarnation, number: first + count - 1 });
    const [oldest] = newest.keys();
    if (newest.size > maxSenders && oldest !== undefined) newest.delete(oldest);
    return true;
  };

  return {
    key: 's',
    get dropped() {
      return dropped;
    },
    publish(sample) {
      waiting = [...waiting, sample];
      if (waiting.length <= maxWaiting) return;
      waiting = waiting.slice(1);
      dropped += 1;
    },
    pack() {
      if (waiting.length === 0) return undefined;
      const batch = waiting.slice(0, maxSamples);
      waiting = waiting.slice(maxSamples);
      const first = sent + 1;
      sent += batch.length;
      return [first, ...batch.map(packSample)];
    },
    merge(value, sender) {
      if (!Array.isArray(value) || value.length < 2 || value.length > maxSamples + 1) return;
      const [first, ...items] = value as readonly unknown[];
      if (!within(first, 1, Number.MAX_SAFE_INTEGER - maxSamples)) return;
      if (!isNew(sender, first, items.length)) return;
      for (const item of items) {
        const sample = readSample(item);
        if (sample) onSample(sample);
      }
    },
  };
}
