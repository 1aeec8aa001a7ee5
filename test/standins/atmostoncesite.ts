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

/** Faults of the link to the agent, applied to the next dispatch. */
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

/** Outcome and response of a call, as its caller received them. */
export interface ObservedResponse {
  readonly outcome: string;
  readonly work: string;
  readonly body: string;
  readonly replayed: boolean;
}

/** Latency of the service on the manual clock. */
export const serviceLatencyMs = 300;

/** Delay of a message with the fault `late`. */
const lateDeliveryMs = 5_000;

/** Creates entries and one agent on a manual clock, with faults between all components. */
export function createAtMostOnceSite(bodySize = 0) {
  const clock = createManualClock();
  const log = createNullLogger();
  const table = createMemoryTable();
  const objects = createMemoryObjects();
  /** Number of runs by key and by request, counted by the service. */
  const runs = new Map<string, number>();
  const countRun = (name: string): void => {
    runs.set(name, (runs.get(name) ?? 0) + 1);
  };
  const faults = {
    serviceFault: 'none' as 'none' | 'refuse' | 'break',
    linkFault: 'none' as LinkFault,
  };

  const startWorker = () => {
    const cancellation = createCancellationSource();
    const worker = createServiceWorker({
      clock,
      log,
      slots: 4,
      service: {
        async send({ headers, body }, token) {
          if (faults.serviceFault === 'refuse') throw new TargetRefusedError('refused');
          for (const [name, value] of headers) if (name.startsWith('x-test')) countRun(value);
          const parts: Uint8Array[] = [];
          for await (const part of body) parts.push(part);
          await sleep(clock, serviceLatencyMs, token);
          if (faults.serviceFault === 'break') throw new Error('the service failed');
          const reply = Buffer.concat([...parts, Buffer.alloc(bodySize, 'r')]);
          async function* chunks() {
            yield reply;
          }
          return { status: 201, headers: [['x-order', 'kept']], body: chunks() };
        },
      },
    });
    return { worker, cancellation };
  };
  let agent = startWorker();
  const bootIncarnation = agent.worker.incarnation;

  const connectionError = (): ConnectError =>
    new ConnectError('connection was closed', Code.Unavailable);
  const refusedError = (): ConnectError => {
    const cause = Object.assign(new Error('refused'), { code: 'ECONNREFUSED', syscall: 'connect' });
    return new ConnectError('refused', Code.Unavailable, undefined, undefined, cause);
  };

  /** Delivers a call to the current agent; the reply fails if that agent crashes. */
  async function* deliver(parts: readonly CallPart[]): AsyncGenerator<CallPart> {
    const { worker, cancellation } = agent;
    async function* replay() {
      yield* parts;
    }
    for await (const part of worker.call(replay(), noCancellation)) {
      if (cancellation.token.isCancellationRequested) throw connectionError();
      yield part;
    }
    if (cancellation.token.isCancellationRequested) throw connectionError();
  }

  const deliverLater = (parts: readonly CallPart[], delayMs: number): void => {
    const run = async (): Promise<void> => {
      await sleep(clock, delayMs, noCancellation);
      for await (const part of deliver(parts)) if (part.part.case === 'end') return;
    };
    run().catch(() => undefined);
  };

  /** Creates an entry that stops for good at step `crashAtStep`; `pause` delays its next steps. */
  const createEntry = (crashAtStep = Infinity) => {
    const entry = { steps: 0, paused: undefined as Promise<void> | undefined, crashAtStep };
    const checkpoint = async (): Promise<void> => {
      entry.steps += 1;
      if (entry.steps >= entry.crashAtStep) await new Promise(() => undefined);
      if (entry.paused) await entry.paused;
    };
    const withCheckpoints = <A extends readonly unknown[], R>(call: (...args: A) => Promise<R>) =>
      async function callWithCheckpoints(...args: A): Promise<R> {
        await checkpoint();
        const result = await call(...args);
        await checkpoint();
        return result;
      };
    const faulty = createFaultyTable(table);
    const entryTable: TablePort = {
      get: withCheckpoints(faulty.get),
      query: withCheckpoints(faulty.query),
      transact: withCheckpoints(faulty.transact),
    };
    const entryObjects: ObjectPort = {
      put: withCheckpoints(objects.put),
      get: withCheckpoints(objects.get),
    };

    async function* call(source: AsyncIterable<CallPart>): AsyncGenerator<CallPart> {
      await checkpoint();
      const fault = faults.linkFault;
      faults.linkFault = 'none';
      if (fault === 'refused') throw refusedError();
      const parts: CallPart[] = [];
      for await (const part of source) parts.push(part);
      if (fault === 'loseRequest') throw connectionError();
      if (fault === 'late') deliverLater(parts, lateDeliveryMs);
      if (fault === 'loseReply') deliverLater(parts, 0);
      if (fault === 'loseReply') await sleep(clock, serviceLatencyMs / 2, noCancellation);
      if (fault === 'late' || fault === 'loseReply') throw connectionError();
      if (fault === 'silent') {
        deliverLater(parts, 0);
        await sleep(clock, 2_000, noCancellation);
        throw connectionError();
      }
      if (fault === 'overtaken') {
        deliverLater(parts, 0);
        await sleep(clock, serviceLatencyMs / 2, noCancellation);
      }
      if (fault === 'duplicate') deliverLater(parts, serviceLatencyMs / 2);
      const sent = fault === 'cut' ? parts.slice(0, -1) : parts;
      for await (const part of deliver(sent)) {
        await checkpoint();
        yield part;
      }
    }
    const result = withCheckpoints(async (req: { attemptId: string; team: string }) => {
      if (agent.cancellation.token.isCancellationRequested) throw refusedError();
      return agent.worker.result(req.attemptId, req.team);
    });
    const connection = {
      address: 'http://agent',
      client: { call, result },
      reset: () => undefined,
      dispose: () => undefined,
    } as unknown as AgentView['connection'];
    const claims = createClaimStore({ clock, log, table: entryTable });
    const runner = createAtMostOnceRunner({
      clock,
      log,
      claims,
      results: createResultStore(log, entryObjects),
      outcomes: createOutcomeSource({ clock, log, connectionTo: () => connection }),
    });
    const choose = (): AgentView => ({
      address: 'http://agent',
      connection,
      // The status is stale, so an entry observes a new incarnation only through a rejection.
      status: { target: 'desk-1', incarnation: bootIncarnation } as AgentView['status'],
      ageMs: 0,
      usable: true,
      inFlightRequests: 0,
    });

    const send = async (
      requestId: string,
      key: string,
      fields: { readonly deadlineMs?: number; readonly text?: string } = {},
    ): Promise<ObservedResponse> => {
      const { deadlineMs = 20_000, text = 'four reels' } = fields;
      const received = { body: '', replayed: false };
      const sink = {
        head(_status: number, _headers: unknown, _target: string, replayed: boolean) {
          received.replayed = replayed;
        },
        async data(bytes: Uint8Array) {
          received.body += Buffer.from(bytes).toString();
        },
      };
      const head = Buffer.from(text);
      try {
        await runner.run(
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
        return { outcome: 'answered', work: 'completed', ...received };
      } catch (err) {
        if (!isRefusal(err)) throw err;
        return { outcome: err.code, work: err.work, ...received };
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
      crash() {
        entry.crashAtStep = 0;
      },
    };
  };

  return {
    clock,
    faults,
    runs,
    createEntry,
    /** Stops the agent, which loses its state in memory, and starts a new incarnation. */
    crashAgent() {
      agent.cancellation.cancel('crashed');
      agent.worker.dispose();
      agent = startWorker();
    },
    /** Advances the clock in steps of 50 ms and lets pending promises settle after each step. */
    async runFor(durationMs: number) {
      for (let passed = 0; passed < durationMs; passed += 50) {
        await clock.advance(50);
        await new Promise(setImmediate);
      }
    },
  };
}
