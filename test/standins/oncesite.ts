import { Code, ConnectError } from '@connectrpc/connect';
import { createMemoryObjects } from '../../src/adapters/memory/objects.js';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { createCancellationSource, noCancellation } from '../../src/base/cancellation.js';
import { sleep } from '../../src/base/clock.js';
import { createDeadline } from '../../src/base/deadline.js';
import { TargetRefusedError } from '../../src/base/errors.js';
import { createNullLogger } from '../../src/base/logging.js';
import { isRefusal } from '../../src/base/refusals.js';
import { type CallPart } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createAtMostOnceRunner } from '../../src/idempotency/calls.js';
import { createClaimStore } from '../../src/idempotency/claims.js';
import { createOutcomeSource } from '../../src/idempotency/outcomes.js';
import { createResultStore } from '../../src/idempotency/results.js';
import { createServiceWorker } from '../../src/idempotency/serviceworker.js';
import { type AgentView } from '../../src/membership/directory.js';
import { type ObjectPort } from '../../src/ports/objects.js';
import { type TablePort } from '../../src/ports/table.js';
import { createManualClock } from './clock.js';
import { createFaultyTable } from './faultytable.js';

/** What happens to the next dispatch on its way to the agent. */
export const linkFaults = [
  'none',
  'refused',
  'loseRequest',
  'loseReply',
  'late',
  'duplicate',
  'overtaken',
  'cut',
  'silent',
] as const;

export type LinkFault = (typeof linkFaults)[number];

/** What the caller of a stand-in entry saw. */
export interface CallAnswer {
  readonly outcome: string;
  readonly work: string;
  readonly body: string;
  readonly replayed: boolean;
}

/** Service latency on the manual clock. */
export const serviceMs = 300;

/** Time after which a late or duplicated message arrives. */
const lateMs = 5_000;

/** Entries and one agent on the manual clock, with faults between all parts. */
export function createOnceSite(bodySize = 0) {
  const clock = createManualClock();
  const log = createNullLogger();
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  /** Runs by key and by request, counted by the service itself. */
  const runs = new Map<string, number>();
  const count = (name: string): void => {
    runs.set(name, (runs.get(name) ?? 0) + 1);
  };
  const site = {
    serviceFault: 'none' as 'none' | 'refuse' | 'break',
    linkFault: 'none' as LinkFault,
  };

  const startWorker = () => {
    const life = createCancellationSource();
    const worker = createServiceWorker({
      clock,
      log,
      slots: 4,
      service: {
        async send({ headers, body }, token) {
          if (site.serviceFault === 'refuse') throw new TargetRefusedError('refused');
          for (const [name, value] of headers) if (name.startsWith('x-test')) count(value);
          const parts: Uint8Array[] = [];
          for await (const part of body) parts.push(part);
          await sleep(clock, serviceMs, token);
          if (site.serviceFault === 'break') throw new Error('the service broke off');
          const reply = Buffer.concat([...parts, Buffer.alloc(bodySize, 'r')]);
          async function* chunks() {
            yield reply;
          }
          return { status: 201, headers: [['x-order', 'kept']], body: chunks() };
        },
      },
    });
    return { worker, life };
  };
  let agent = startWorker();
  const bootIncarnation = agent.worker.incarnation;

  const broken = (): ConnectError => new ConnectError('connection broke', Code.Unavailable);
  const refused = (): ConnectError => {
    const cause = Object.assign(new Error('refused'), { code: 'ECONNREFUSED', syscall: 'connect' });
    return new ConnectError('refused', Code.Unavailable, undefined, undefined, cause);
  };

  /** Delivers a call to the agent that lives now; the reply fails when that agent crashes. */
  async function* deliver(parts: readonly CallPart[]): AsyncGenerator<CallPart> {
    const { worker, life } = agent;
    async function* replay() {
      yield* parts;
    }
    for await (const part of worker.call(replay(), noCancellation)) {
      if (life.token.isCancellationRequested) throw broken();
      yield part;
    }
    if (life.token.isCancellationRequested) throw broken();
  }

  const deliverLater = (parts: readonly CallPart[], delayMs: number): void => {
    const run = async (): Promise<void> => {
      await sleep(clock, delayMs, noCancellation);
      for await (const part of deliver(parts)) if (part.part.case === 'end') return;
    };
    run().catch(() => undefined);
  };

  /** Starts an entry. `dieAt` stops it for ever at that step; `pause` holds it at its next step. */
  const createEntry = (dieAt = Infinity) => {
    const entry = { steps: 0, paused: undefined as Promise<void> | undefined, dieAt };
    const gate = async (): Promise<void> => {
      entry.steps += 1;
      if (entry.steps >= entry.dieAt) await new Promise(() => undefined);
      if (entry.paused) await entry.paused;
    };
    const gated = <A extends readonly unknown[], R>(call: (...args: A) => Promise<R>) =>
      async function through(...args: A): Promise<R> {
        await gate();
        const result = await call(...args);
        await gate();
        return result;
      };
    const faulty = createFaultyTable(table);
    const entryTable: TablePort = {
      get: gated(faulty.get),
      query: gated(faulty.query),
      transact: gated(faulty.transact),
    };
    const entryObjects: ObjectPort = { put: gated(objects.put), get: gated(objects.get) };

    async function* call(source: AsyncIterable<CallPart>): AsyncGenerator<CallPart> {
      await gate();
      const fault = site.linkFault;
      site.linkFault = 'none';
      if (fault === 'refused') throw refused();
      const parts: CallPart[] = [];
      for await (const part of source) parts.push(part);
      if (fault === 'loseRequest') throw broken();
      if (fault === 'late') deliverLater(parts, lateMs);
      if (fault === 'loseReply') deliverLater(parts, 0);
      if (fault === 'loseReply') await sleep(clock, serviceMs / 2, noCancellation);
      if (fault === 'late' || fault === 'loseReply') throw broken();
      if (fault === 'silent') {
        deliverLater(parts, 0);
        await sleep(clock, 2_000, noCancellation);
        throw broken();
      }
      if (fault === 'overtaken') {
        deliverLater(parts, 0);
        await sleep(clock, serviceMs / 2, noCancellation);
      }
      if (fault === 'duplicate') deliverLater(parts, serviceMs / 2);
      const sent = fault === 'cut' ? parts.slice(0, -1) : parts;
      for await (const part of deliver(sent)) {
        await gate();
        yield part;
      }
    }
    const result = gated(async (req: { attemptId: string; team: string }) => {
      if (agent.life.token.isCancellationRequested) throw refused();
      return agent.worker.result(req.attemptId, req.team);
    });
    const connection = {
      address: 'http://agent',
      client: { call, result },
      reset: () => undefined,
      dispose: () => undefined,
    } as unknown as AgentView['connection'];
    const claims = createClaimStore({ clock, log, table: entryTable });
    const caller = createAtMostOnceRunner({
      clock,
      log,
      claims,
      results: createResultStore(log, entryObjects),
      outcomes: createOutcomeSource({ clock, log, connectionTo: () => connection }),
    });
    const choose = (): AgentView => ({
      address: 'http://agent',
      connection,
      // The status lags: an entry learns of a new incarnation only by a rejection.
      status: { target: 'desk-1', incarnation: bootIncarnation } as AgentView['status'],
      ageMs: 0,
      usable: true,
      inFlightRequests: 0,
    });

    const send = async (
      requestId: string,
      key: string,
      fields: { readonly deadlineMs?: number; readonly text?: string } = {},
    ): Promise<CallAnswer> => {
      const { deadlineMs = 20_000, text = 'four reels' } = fields;
      const got = { body: '', replayed: false };
      const sink = {
        head(_status: number, _headers: unknown, _target: string, replayed: boolean) {
          got.replayed = replayed;
        },
        async data(bytes: Uint8Array) {
          got.body += Buffer.from(bytes).toString();
        },
      };
      const head = Buffer.from(text);
      try {
        await caller.run(
          {
            requestId,
            team: 'red',
            key,
            service: 'desk',
            method: 'POST',
            path: '/orders',
            headers: [
              ['x-test-key', key],
              ['x-test-request', requestId],
            ],
            body: { head, rest: undefined },
            fingerprint: text,
            priority: 0,
            deadline: createDeadline(clock, deadlineMs),
          },
          choose,
          sink,
          noCancellation,
        );
        return { outcome: 'answered', work: 'completed', ...got };
      } catch (err) {
        if (!isRefusal(err)) throw err;
        return { outcome: err.code, work: err.work, ...got };
      }
    };
    return {
      send,
      claims,
      table: faulty,
      get steps() {
        return entry.steps;
      },
      pause(durationMs: number) {
        entry.paused = sleep(clock, durationMs, noCancellation).then(() => {
          entry.paused = undefined;
        });
      },
      die() {
        entry.dieAt = 0;
      },
    };
  };

  return {
    clock,
    site,
    runs,
    createEntry,
    /** The agent ends with all its work in memory; a new incarnation takes its place. */
    crashAgent() {
      agent.life.cancel('crashed');
      agent.worker.dispose();
      agent = startWorker();
    },
    /** Moves the clock until the time is over and all promises have settled. */
    async runFor(durationMs: number) {
      for (let passed = 0; passed < durationMs; passed += 50) {
        await clock.advance(50);
        await new Promise(setImmediate);
      }
    },
  };
}
