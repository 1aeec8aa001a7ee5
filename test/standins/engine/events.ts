import { type ServerResponse } from 'node:http';
import { type Random } from '../../../src/base/random.js';

/** Delay and loss of a cache event stream. */
export interface EventFaults {
  readonly delayMs: number;
  /** Fraction of events that are lost; each leaves a gap in the sequence numbers. */
  readonly lossRate: number;
  readonly random: Random;
}

export interface CacheChange {
  readonly incarnation: string;
  readonly weightsVersion: string;
  readonly stored: readonly bigint[];
  readonly evicted: readonly bigint[];
  readonly cleared: boolean;
}

/** Sends an engine's cache events to its subscribers. */
export interface EventPublisher {
  /** Sends a snapshot of the cached blocks in parts, then all later events. */
  addSubscriber(res: ServerResponse, snapshot: Omit<CacheChange, 'evicted' | 'cleared'>): void;
  publish(change: CacheChange): void;
  /** Resets the sequence numbers, as a new incarnation does. */
  restart(): void;
}

/** Maximum number of blocks in one part of a snapshot. */
const snapshotPartBlocks = 1_024;

const toHex = (hash: bigint): string => hash.toString(16);

export function createEventPublisher(faults: EventFaults): EventPublisher {
  const subscribers = new Set<ServerResponse>();
  let seq = 0;

  return {
    addSubscriber(res, { stored, ...identity }) {
      res.setHeader('content-type', 'text/event-stream');
      res.flushHeaders();
      for (let from = 0; from === 0 || from < stored.length; from += snapshotPartBlocks) {
        const part = stored.slice(from, from + snapshotPartBlocks).map(toHex);
        const fields = { seq, stored: part, evicted: [], cleared: from === 0, snapshot: true };
        res.write(`data: ${JSON.stringify({ ...identity, ...fields })}\n\n`);
      }
      subscribers.add(res);
      res.once('close', () => subscribers.delete(res));
    },
    publish(change) {
      seq += 1;
      if (faults.lossRate > 0 && faults.random.next() < faults.lossRate) return;
      const stored = change.stored.map(toHex);
      const evicted = change.evicted.map(toHex);
      const data = `data: ${JSON.stringify({ ...change, seq, stored, evicted })}\n\n`;
      const send = (): void => {
        for (const subscriber of subscribers) subscriber.write(data);
      };
      if (faults.delayMs === 0) send();
      else setTimeout(send, faults.delayMs);
    },
    restart() {
      seq = 0;
    },
  };
}
