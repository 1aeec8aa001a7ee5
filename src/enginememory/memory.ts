import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type CallerHead } from '../ports/wire.js';
import { hashText } from '../routing/rendezvous.js';
import { createMemoryLedger, type MemoryLedger, type MemoryUse } from './ledger.js';
import { createOutputRatio } from './outputratio.js';
import { createPeerMemory, packMemory, readMemory } from './peermemory.js';

/** Memory that a request needs at an engine. */
export interface MemoryDemand extends MemoryUse {
  readonly service: string;
  /** Estimate of the caller, not corrected. */
  readonly expectedOutputTokens: number;
  /** Output that `ownTokens` includes, corrected by what was observed. */
  readonly outputTokens: number;
}

/** Request whose memory is counted. Disposing it ends that. */
export interface HeldRequest extends Disposable {
  /** Records tokens that the request has generated. */
  observeOutput(tokens: number): void;
  /** Records that the response is whole, so that its length is a sample. */
  complete(): void;
}

/**
 * Models the tokens that the requests of all gateways hold in the memory of each engine. It answers
 * loads in which long prompts fill the memory before the slots: an engine then lets requests wait,
 * or preempts running ones and prefills them again.
 */
export interface EngineMemory {
  /** Tokens at an engine; more than its memory when requests there wait for memory. */
  heldTokens(targetId: string): number;
  /** Those of them that are not prompt parts in the cache model. */
  unlistedTokens(targetId: string): number;
  /**
   * Returns the demand of a request. Without a salt, and without prompt parts, nothing of the prompt
   * is shared or cached.
   */
  demandOf(service: string, head: MemoryHead, salt: string | undefined): MemoryDemand;
  /** Tokens that the request adds to those held at an engine: parts in use there count once. */
  addedTokens(targetId: string, demand: MemoryUse): number;
  /** Counts a request of this process at an engine until the result is disposed. */
  hold(targetId: string, demand: MemoryDemand): HeldRequest;
  /** Memory of this process's own requests for the next hint; undefined when there was never any. */
  pack(): unknown;
  /** Applies the value of a peer's hint, which has not been checked. */
  merge(value: unknown, sender: { readonly instance: string }): void;
}

export type MemoryHead = Pick<CallerHead, 'promptTokens' | 'expectedOutputTokens' | 'parts'>;

/** Smaller parts count as part of each request: most requests of a service share them. */
const minSharedTokens = 128;

/** Bits of a part's hash that are used: exact in a JSON number. */
const hashMask = 0xffff_ffff_ffffn;

/** Expired counts of peers are searched for at most this often. */
const expiryIntervalMs = 100;

/**
 * A request that has generated more than expected is assumed to generate this many times as much:
 * lengths are heavy-tailed, so the longer a response is, the more is to be expected.
 */
const overrunRatio = 1.25;

export function createEngineMemory(clock: Clock): EngineMemory {
  /** Requests of all gateways, and of this process, by engine. */
  const all = new Map<string, MemoryLedger>();
  const own = new Map<string, MemoryLedger>();
  const outputRatio = createOutputRatio();
  let expiredAt = -Infinity;
  let hasHeld = false;

  const add = (ledgers: Map<string, MemoryLedger>, targetId: string, use: MemoryUse): void => {
    const ledger = ledgers.get(targetId) ?? createMemoryLedger();
    ledgers.set(targetId, ledger);
    ledger.add(use);
  };

  const remove = (ledgers: Map<string, MemoryLedger>, targetId: string, use: MemoryUse): void => {
    const ledger = ledgers.get(targetId);
    ledger?.remove(use);
    if (ledger?.isEmpty) ledgers.delete(targetId);
  };

  const peers = createPeerMemory(
    clock,
    ({ targetId, use }) => add(all, targetId, use),
    ({ targetId, use }) => remove(all, targetId, use),
  );

  const ledgerOf = (targetId: string): MemoryLedger | undefined => {
    if (clock.now() - expiredAt >= expiryIntervalMs) {
      expiredAt = clock.now();
      peers.expire();
    }
    return all.get(targetId);
  };

  return {
    heldTokens: (targetId) => ledgerOf(targetId)?.heldTokens ?? 0,
    unlistedTokens: (targetId) => ledgerOf(targetId)?.unlistedTokens ?? 0,
    demandOf(service, { promptTokens, expectedOutputTokens, parts }, salt) {
      const outputTokens = outputRatio.correct(service, expectedOutputTokens);
      const shared = [];
      let sharedTokens = 0;
      // The last part is not shared with other requests.
      for (const { id, tokens } of salt === undefined ? [] : parts.slice(0, -1)) {
        if (tokens < minSharedTokens) continue;
        shared.push({ hash: Number(hashText(`${salt}/${id}`) & hashMask), tokens });
        sharedTokens += tokens;
      }
      const ownPromptTokens = Math.max(0, promptTokens - sharedTokens);
      let listedTokens = 0;
      if (salt !== undefined) for (const { tokens } of parts) listedTokens += tokens;
      return {
        service,
        expectedOutputTokens,
        outputTokens,
        shared,
        ownTokens: ownPromptTokens + outputTokens,
        unlistedTokens: Math.max(0, promptTokens - listedTokens) + outputTokens,
      };
    },
    addedTokens: (targetId, demand) => {
      const ledger = ledgerOf(targetId);
      if (ledger) return ledger.addedTokens(demand);
      let total = demand.ownTokens;
      for (const { tokens } of demand.shared) total += tokens;
      return total;
    },
    hold(targetId, demand) {
      hasHeld = true;
      let use: MemoryUse = demand;
      let expectedTokens = demand.outputTokens;
      let generatedTokens = 0;
      let isReleased = false;
      const replace = (next: MemoryUse): void => {
        for (const ledgers of [all, own]) {
          add(ledgers, targetId, next);
          remove(ledgers, targetId, use);
        }
        use = next;
      };
      for (const ledgers of [all, own]) add(ledgers, targetId, use);
      const release = toDisposable(() => {
        isReleased = true;
        for (const ledgers of [all, own]) remove(ledgers, targetId, use);
      });
      return {
        observeOutput(tokens) {
          generatedTokens += tokens;
          if (isReleased || generatedTokens <= expectedTokens) return;
          const grownTokens = Math.ceil(generatedTokens * overrunRatio) - expectedTokens;
          expectedTokens += grownTokens;
          replace({
            ...use,
            ownTokens: use.ownTokens + grownTokens,
            unlistedTokens: use.unlistedTokens + grownTokens,
          });
        },
        complete() {
          outputRatio.observe(demand.service, demand.expectedOutputTokens, generatedTokens);
        },
        dispose: () => release.dispose(),
      };
    },
    pack() {
      if (!hasHeld) return undefined;
      return packMemory(
        [...own].map(([targetId, { heldTokens, unlistedTokens, parts: shared }]) => {
          let ownTokens = heldTokens;
          for (const { tokens } of shared) ownTokens -= tokens;
          return { targetId, use: { shared, ownTokens, unlistedTokens } };
        }),
      );
    },
    merge(value, { instance }) {
      peers.replace(instance, readMemory(value));
    },
  };
}
