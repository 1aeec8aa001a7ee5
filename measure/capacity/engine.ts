/** Minimal engine on loopback that sends cache events at a configurable rate. */
import { createServer, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';

/** Engine that reports only its state, load and cache events. */
export interface EventEngine {
  readonly url: string;
  /** Number of events sent so far. */
  readonly sent: number;
  /** Sends events until the given number of blocks has been stored, several blocks per event. */
  fill(blocks: number): void;
  /** Starts sending events at this rate; each stores one block and evicts the oldest. */
  setRate(eventsPerSecond: number): void;
  close(): void;
}

/** Interval between batches; the timers of Node are inaccurate at shorter intervals. */
const batchIntervalMs = 20;

/** Number of blocks in one event of `fill`. */
const blocksPerFillEvent = 100;

/** Distributes the block number over 64 bits, like a real block hash. */
function blockHashOf(block: number): string {
  return BigInt.asUintN(64, BigInt(block + 1) * 0x9e3779b97f4a7c15n).toString(16);
}

export async function startEventEngine(): Promise<EventEngine> {
  let eventStream: ServerResponse | undefined;
  let seq = 0;
  let nextBlock = 0;
  let oldestBlock = 0;
  let timer: NodeJS.Timeout | undefined;
  const state = {
    incarnation: 'engine-1',
    models: ['model'],
    weightsVersion: 'v1',
    adapters: [],
    role: 'mixed',
    places: 8,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 800,
  };
  const send = (stored: readonly string[], evicted: readonly string[]): void => {
    seq += 1;
    const { incarnation, weightsVersion } = state;
    const event = { incarnation, seq, weightsVersion, stored, evicted, cleared: false };
    eventStream?.write(`data: ${JSON.stringify(event)}\n\n`);
  };
  const replies: Readonly<Record<string, object>> = {
    '/engine/state': state,
    '/engine/load': { running: 0, waiting: 0 },
  };
  const server = createServer((req, res) => {
    if (req.url === '/engine/cache-events') {
      res.writeHead(200, { 'content-type': 'text/event-stream' });
      res.flushHeaders();
      eventStream = res;
      return;
    }
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(replies[req.url ?? ''] ?? {}));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    get sent() {
      return seq;
    },
    fill(blocks) {
      while (nextBlock < blocks) {
        const count = Math.min(blocksPerFillEvent, blocks - nextBlock);
        send(
          Array.from({ length: count }, (_item, index) => blockHashOf(nextBlock + index)),
          [],
        );
        nextBlock += count;
      }
    },
    setRate(eventsPerSecond) {
      clearInterval(timer);
      const start = performance.now();
      let count = 0;
      timer = setInterval(() => {
        const due = Math.floor(((performance.now() - start) * eventsPerSecond) / 1_000);
        for (; count < due; count += 1) {
          send([blockHashOf(nextBlock)], [blockHashOf(oldestBlock)]);
          nextBlock += 1;
          oldestBlock += 1;
        }
      }, batchIntervalMs);
    },
    close() {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
