import { type PromptPart } from '../ports/wire.js';
import { type EvidenceHint, isEvidenceHint } from '../quarantine/share.js';
import { isLimitHints, type LimitHint } from './targetlimits.js';

/** One placement, published so that the peers record in their models where parts are cached. */
export interface CacheUse {
  readonly salt: string;
  readonly parts: readonly PromptPart[];
  readonly targetId: string;
  /** Time until the target has prefilled the parts, in milliseconds. */
  readonly readyMs: number;
  /** KV store to which the target also saves the prompt parts; undefined if there is none. */
  readonly saveTo: string | undefined;
  /** Tokens that are fetched from the KV store or, if none is named, from another engine. */
  readonly fetch: { readonly store: string | undefined; readonly tokens: number } | undefined;
}

/** JSON body of a datagram. One-letter names keep it small. */
export interface Hint {
  /** Instance that sends the hint. */
  readonly n: string;
  /** Sequence number; increases with each datagram of one incarnation of the sender. */
  readonly q: number;
  /** Start of that incarnation in Unix milliseconds. */
  readonly b: number;
  /**
   * Target, its in-flight requests, and the prompt tokens of these that it has yet to prefill, by
   * priority. Gateways of version 0.1 before priorities send one number.
   */
  readonly o: readonly (readonly [string, number, readonly number[] | number])[];
  /** Targets that change their weights. */
  readonly c: readonly string[];
  /**
   * Salt, target, milliseconds until the parts are prefilled, KV store that receives them or an empty
   * string, KV store that sends them or an empty string, tokens that are fetched, and the parts with
   * their tokens.
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
  /** Versions of the newest observed changes of the configuration table and the target table. */
  readonly v: readonly number[];
  /** Evidence of prompt parts that crash engines; absent when there is none. */
  readonly e?: EvidenceHint | undefined;
  /** Limits that targets named, and ends of them; absent when there are none. */
  readonly l?: readonly LimitHint[] | undefined;
  /** Sections of other features by key; absent when there are none. */
  readonly x?: Readonly<Record<string, unknown>> | undefined;
}

/** Checks the outer shape of a value from the network, but not the items of its lists. */
export const isHint = (value: unknown): value is Hint => {
  const hint = value as Partial<Hint> | null;
  if (typeof hint !== 'object' || hint === null || typeof hint.n !== 'string') return false;
  if (typeof hint.q !== 'number' || typeof hint.b !== 'number') return false;
  if (hint.e !== undefined && !isEvidenceHint(hint.e)) return false;
  if (hint.l !== undefined && !isLimitHints(hint.l)) return false;
  if (hint.x !== undefined && (typeof hint.x !== 'object' || hint.x === null)) return false;
  return [hint.o, hint.c, hint.u, hint.w, hint.v].every((list) => Array.isArray(list));
};

/** Reads prompt parts from a flat list: id, tokens, id, tokens. */
function readParts(flat: readonly (string | number)[]): readonly PromptPart[] {
  const parts: PromptPart[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    parts.push({ id: String(flat[index]), tokens: Number(flat[index + 1]) });
  }
  return parts;
}

export const packCacheUse = (use: CacheUse): Hint['u'][number] => [
  use.salt,
  use.targetId,
  Math.round(use.readyMs),
  use.saveTo ?? '',
  use.fetch?.store ?? '',
  use.fetch?.tokens ?? 0,
  use.parts.flatMap(({ id, tokens }) => [id, tokens]),
];

export const readCacheUse = ([
  salt,
  targetId,
  readyMs,
  saveTo,
  store,
  tokens,
  parts,
]: Hint['u'][number]): CacheUse => ({
  salt,
  targetId,
  readyMs,
  saveTo: saveTo || undefined,
  fetch: tokens > 0 ? { store: store || undefined, tokens } : undefined,
  parts: readParts(parts),
});
