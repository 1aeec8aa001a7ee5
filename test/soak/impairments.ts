/** Unplanned impairments of gateways and targets, by name, with the times at which they held. */
export interface Impairments {
  /** Begins an impairment; the result ends it. */
  begin(name: string): () => void;
  /** True when the machine was impaired at some time between `from` and `to`. */
  has(name: string, from: number, to: number): boolean;
}

interface Period {
  readonly name: string;
  readonly from: number;
  to: number;
}

/** Time after an impairment in which its effects still reach callers. */
const aftermathMs = 500;

export function createImpairments(): Impairments {
  const periods: Period[] = [];
  return {
    begin(name) {
      const period = { name, from: performance.now(), to: Infinity };
      periods.push(period);
      return () => {
        period.to = performance.now() + aftermathMs;
      };
    },
    has: (name, from, to) =>
      periods.some((period) => period.name === name && period.from <= to && period.to >= from),
  };
}
