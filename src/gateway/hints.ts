import { type PromptPart } from '../ports/wire.js';

/** Body of a datagram. Short names keep it within one packet. */
export interface Hint {
  /** Sender. */
  readonly n: string;
  /** Grows with each datagram of one run of the sender. */
  readonly q: number;
  /** Start of that run. */
  readonly b: number;
  /** Target, runs and waiting tokens. */
  readonly o: readonly (readonly [string, number, number])[];
  /** Targets that change their weights. */
  readonly c: readonly string[];
  /**
   * Salt, target, time until the parts are read, store that receives or an empty text, store that sends or an empty text, tokens
   * that are fetched, and the parts with their tokens.
   */
  readonly u: readonly (readonly [
    string,
    string,
    number,
    string,
    string,
    number,
    readonly (string | number)[],
  ])[];
  /** Target, model, version. */
  readonly w: readonly (readonly [string, string, number])[];
  /** Newest change of each table. */
  readonly v: readonly number[];
}

/** True when a value from the network has the shape of a hint. */
export const isHint = (value: unknown): value is Hint => {
  const hint = value as Partial<Hint> | null;
  if (typeof hint !== 'object' || hint === null || typeof hint.n !== 'string') return false;
  if (typeof hint.q !== 'number' || typeof hint.b !== 'number') return false;
  return [hint.o, hint.c, hint.u, hint.w, hint.v].every((list) => Array.isArray(list));
};

/** Reads parts and their tokens from a flat list. */
export function readParts(flat: readonly (string | number)[]): readonly PromptPart[] {
  const parts: PromptPart[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    parts.push({ id: String(flat[index]), tokens: Number(flat[index + 1]) });
  }
  return parts;
}
