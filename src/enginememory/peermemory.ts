import { type Clock } from '../base/clock.js';
import { type MemoryUse, type SharedPart } from './ledger.js';

/** Memory that the requests of a gateway use at one engine. */
export interface TargetMemory {
  readonly targetId: string;
  readonly use: MemoryUse;
}

/** Target, own tokens, unlisted tokens, and the shared parts as hash, tokens, hash, tokens. */
type PackedMemory = readonly [string, number, number, readonly number[]];

/** Engines in one hint; a gateway of the largest known site uses fewer than a hundred at a time. */
const maxTargets = 256;

/**
 * Shared parts in one hint, so that the section stays below about 3 KB. Tokens of further parts count
 * as own ones, which overestimates the memory.
 */
const maxParts = 128;

/** Largest number of tokens that is accepted from the network; no engine has a thousandth of it. */
const maxTokens = 1e9;

/** Memory uses of a peer that sends nothing for longer are dropped, as its other counts are. */
const maxAgeMs = 1_600;

/** Peers whose uses are stored; the oldest is dropped first. */
const maxPeers = 1_024;

/** Packs the memory at each engine for the hints. */
export function packMemory(memory: readonly TargetMemory[]): readonly PackedMemory[] {
  let freeParts = maxParts;
  return memory.slice(0, maxTargets).map(({ targetId, use }) => {
    const listed = use.shared.slice(0, freeParts);
    freeParts -= listed.length;
    let { ownTokens } = use;
    for (const { tokens } of use.shared.slice(listed.length)) ownTokens += tokens;
    const parts = listed.flatMap(({ hash, tokens }) => [hash, tokens]);
    return [targetId, ownTokens, use.unlistedTokens, parts];
  });
}

const isTokenCount = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0 && (value as number) <= maxTokens;

function readTargetMemory(raw: unknown): TargetMemory | undefined {
  if (!Array.isArray(raw)) return undefined;
  const [targetId, ownTokens, unlistedTokens, flat] = raw as unknown[];
  if (typeof targetId !== 'string' || !isTokenCount(ownTokens) || !isTokenCount(unlistedTokens))
    return undefined;
  if (!Array.isArray(flat) || flat.length > 2 * maxParts) return undefined;
  const shared: SharedPart[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    const [hash, tokens] = flat.slice(index, index + 2) as unknown[];
    if (!Number.isSafeInteger(hash) || !isTokenCount(tokens)) return undefined;
    shared.push({ hash: hash as number, tokens });
  }
  const use = { shared, ownTokens, unlistedTokens: Math.min(ownTokens, unlistedTokens) };
  return { targetId, use };
}

/** Reads the memory in a hint; items of another shape are left out. */
export function readMemory(value: unknown): readonly TargetMemory[] {
  if (!Array.isArray(value)) return [];
  return value.slice(0, maxTargets).flatMap((raw) => readTargetMemory(raw) ?? []);
}

/** Newest memory uses of each peer. */
export interface PeerMemory {
  /** Replaces the uses of a peer. */
  replace(instance: string, memory: readonly TargetMemory[]): void;
  /** Drops the uses of peers that were silent for too long. */
  expire(): void;
}

interface PeerRecord {
  readonly memory: readonly TargetMemory[];
  readonly receivedAt: number;
}

/** Calls `add` and `remove` for each use that is no longer or newly valid. */
export function createPeerMemory(
  clock: Clock,
  add: (memory: TargetMemory) => void,
  remove: (memory: TargetMemory) => void,
): PeerMemory {
  // In order of the last hint, the oldest first.
  const records = new Map<string, PeerRecord>();

  const drop = (instance: string): void => {
    for (const memory of records.get(instance)?.memory ?? []) remove(memory);
    records.delete(instance);
  };

  return {
    replace(instance, memory) {
      drop(instance);
      const [oldest] = records.keys();
      if (records.size >= maxPeers && oldest !== undefined) drop(oldest);
      records.set(instance, { memory, receivedAt: clock.now() });
      for (const item of memory) add(item);
    },
    expire() {
      for (const [instance, { receivedAt }] of records) {
        if (clock.now() - receivedAt <= maxAgeMs) return;
        drop(instance);
      }
    },
  };
}
