import { Code, ConnectError } from '@connectrpc/connect';
import { createDeadline } from '../../src/base/deadline.js';
import { toDisposable } from '../../src/base/lifecycle.js';
import { type Clock, sleep } from '../../src/base/clock.js';
import { createCancellationSource } from '../../src/base/cancellation.js';
import {
  type Chunk,
  type DispatchRequest,
  type OfferReply,
  type OfferRequest,
} from '../../src/gen/cicadatide/v1/agent_pb.js';
import { type AgentDirectory, type AgentView } from '../../src/membership/directory.js';
import { type CompletionRequest, createCompletionRequest } from '../../src/routing/request.js';

/** What a fake agent sends in one dispatch: waits in milliseconds, parts, or an error. */
export type ScriptStep = number | Chunk['part'] | Error;

export interface FakeAgentSpec {
  readonly name: string;
  readonly status?: Partial<AgentView['status']>;
  readonly inFlightRequests?: number;
  readonly offer?: (req: OfferRequest) => Partial<OfferReply> | Promise<Partial<OfferReply>>;
  readonly dispatch?: (req: DispatchRequest) => readonly ScriptStep[];
}

/** A view of an agent with a scripted client, and the calls that the client received. */
export interface FakeAgent {
  readonly view: AgentView;
  readonly offers: OfferRequest[];
  readonly dispatched: DispatchRequest[];
  readonly cancelled: number[];
  /** Attempts whose stream was ended or closed by the reader. */
  readonly closed: number[];
}

export const text = (value: string): Chunk['part'] =>
  ({ case: 'text', value: { text: value, tokens: 1 } }) as Chunk['part'];

export const end: Chunk['part'] = {
  case: 'end',
  value: { finishReason: 'stop', promptTokens: 5, cachedTokens: 0 },
} as Chunk['part'];

export const failure = (refusal: number, notRun = true): Chunk['part'] =>
  ({
    case: 'failure',
    value: { refusal, notRun, message: 'scripted', retryAfterMs: 0 },
  }) as Chunk['part'];

export function fakeAgent(clock: Clock, spec: FakeAgentSpec): FakeAgent {
  const fake: FakeAgent = {
    view: undefined as never,
    offers: [],
    dispatched: [],
    cancelled: [],
    closed: [],
  };
  const client = {
    offer: async (req: OfferRequest) => {
      fake.offers.push(req);
      const overrides = spec.offer ? await spec.offer(req) : {};
      return {
        refusal: 0,
        expectedFirstTokenMs: 100,
        prefillMs: 0,
        cachedTokens: 0,
        weightsVersion: 'v1',
        incarnation: 'one',
        reservationId: `reserved-${spec.name}`,
        retryAfterMs: 0,
        ...overrides,
      };
    },
    async *dispatch(req: DispatchRequest, { signal }: { readonly signal: AbortSignal }) {
      fake.dispatched.push(req);
      const source = createCancellationSource();
      signal.addEventListener('abort', () => source.cancel());
      const { requestId, attempt } = req;
      let seq = req.delivered.at(-1)?.seq ?? 0;
      try {
        for (const step of spec.dispatch?.(req) ?? [text('a'), end]) {
          if (step instanceof Error) throw step;
          if (typeof step === 'number') {
            await sleep(clock, step, source.token);
            continue;
          }
          seq += 1;
          yield { requestId, attempt, seq, part: step };
        }
      } finally {
        fake.closed.push(attempt);
      }
    },

    async *resume() {
      throw new ConnectError('no such request', Code.NotFound);
    },
    cancel: async ({ attempt }: { readonly attempt: number }) => {
      fake.cancelled.push(attempt);
      return { found: true };
    },
  };
  const status = {
    target: spec.name,
    kind: 'engine',
    models: ['m'],
    weightsVersion: 'v1',
    incarnation: 'one',
    queueMs: 0,
    running: 0,
    places: 8,
    reportedLoad: 0,
    ...spec.status,
  };
  const connection = {
    address: spec.name,
    client,
    reset: () => undefined,
    dispose: () => undefined,
  };
  const view = {
    address: spec.name,
    connection,
    status,
    ageMs: 0,
    usable: true,
    inFlightRequests: spec.inFlightRequests ?? 0,
  };
  return Object.assign(fake, { view: view as unknown as AgentView });
}

export function fakeDirectory(agents: readonly FakeAgent[]): AgentDirectory {
  const views = agents.map(({ view }) => view);
  return {
    usable: () => views,
    all: () => views,
    find: (target) => views.find(({ status }) => status?.target === target),
    trackRequest: () => toDisposable(() => undefined),
    reportFailure: () => undefined,
    dispose: () => undefined,
  };
}

export function fakeRequest(
  clock: Clock,
  fields: Partial<CompletionRequest> & { readonly deadlineMs?: number } = {},
): CompletionRequest {
  const promptText = fields.promptText ?? 'hello';
  return createCompletionRequest({
    requestId: 'request-1',
    team: 'red',
    salt: 'salt',
    kind: 'text',
    model: 'm',
    adapter: '',
    body: new Uint8Array(),
    promptTokens: Math.ceil(promptText.length / 4),
    outputTokens: 10,
    priority: 0,
    deadline: createDeadline(clock, fields.deadlineMs ?? 10_000),
    ...fields,
    promptText,
  });
}
