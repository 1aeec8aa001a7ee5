import { ConnectError, Code } from '@connectrpc/connect';
import { expect, test } from 'vitest';
import { createCancellationSource } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { type DispatchRequest, RefusalReason } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { createRetryBudgets } from '../../src/limits/retrybudget.js';
import { type CompletionEvent, createDispatcher } from '../../src/routing/dispatcher.js';
import { createTargetHealth } from '../../src/routing/health.js';
import { createOfferPolicy } from '../../src/routing/placement.js';
import { type CompletionRequest } from '../../src/routing/request.js';
import { createManualClock } from '../standins/clock.js';
import {
  end,
  failure,
  fakeAgent,
  type FakeAgentSpec,
  fakeDirectory,
  fakeRequest,
  text,
} from './fakes.js';

/** Model of the requests of `fakeRequest`. */
const modelOfRequests = 'm';

interface Options {
  readonly request?: Partial<CompletionRequest> & { readonly deadlineMs?: number };
  readonly emptyBudget?: boolean;
  /** Another model whose budget is empty. */
  readonly emptyBudgetOf?: string;
  readonly cancelAfterMs?: number;
  /** Target that is on probation and due for a probe. */
  readonly slow?: string;
}

async function run(specs: readonly FakeAgentSpec[], options: Options = {}) {
  const clock = createManualClock();
  const agents = specs.map((spec) => fakeAgent(clock, spec));
  const health = createTargetHealth(clock);
  if (options.slow) {
    for (let count = 0; count < 4; count += 1) {
      for (const { view } of agents) {
        const isSlow = view.address === options.slow;
        health.observeFirstToken(view.address, 200, isSlow ? 2_000 : 200);
      }
      await clock.advance(1_000);
    }
  }
  const random = createSeededRandom(3);
  const budgets = createRetryBudgets(clock);
  const budget = budgets.of(modelOfRequests);
  if (options.emptyBudget) while (budget.tryWithdraw());
  if (options.emptyBudgetOf) while (budgets.of(options.emptyBudgetOf).tryWithdraw());
  const dispatcher = createDispatcher({
    clock,
    random,
    log: createNullLogger(),
    directory: fakeDirectory(agents),
    policy: createOfferPolicy({ clock, random, health }),
    health,
    budgets,
  });
  const source = createCancellationSource();
  const events: CompletionEvent[] = [];
  let error: unknown;
  let done = false;
  const consume = async () => {
    const req = fakeRequest(clock, options.request);
    for await (const event of dispatcher.run(req, () => true, source.token)) events.push(event);
  };
  const consumed = consume()
    .catch((err: unknown) => {
      error = err;
    })
    .finally(() => {
      done = true;
    });
  if (options.cancelAfterMs)
    clock.setTimer(options.cancelAfterMs, () => source.cancel('disconnect'));
  for (let step = 0; step < 4_000 && !done; step += 1) await clock.advance(step % 10 ? 0 : 50);
  await consumed;
  await clock.advance(0);
  // Guards against calls that stay open after their last chunk.
  for (const { dispatched, closed } of agents) {
    const isProbed = dispatched.some(({ requestId }) => requestId.includes('.probe-'));
    if (!isProbed) expect(closed).toHaveLength(dispatched.length);
  }
  const responseText = events.map((event) => (event.kind === 'text' ? event.text : '')).join('');
  return { agents, events, responseText, error, budget, clock };
}

const first = { expectedFirstTokenMs: 10 };
const second = { expectedFirstTokenMs: 100 };
const unavailable = new ConnectError('connection reset', Code.Unavailable);
const refusedConnection = new ConnectError(
  'connect failed',
  Code.Unavailable,
  undefined,
  undefined,
  Object.assign(new Error('connect'), { code: 'ECONNREFUSED', syscall: 'connect' }),
);

// Guards against a response that is lost, repeated or mixed after a fault of the first target.
test.each([
  ['stale incarnation', [failure(RefusalReason.INCARNATION)], 'ab'],
  ['other version', [failure(RefusalReason.VERSION)], 'ab'],
  ['full queue', [failure(RefusalReason.QUEUE_FULL)], 'ab'],
  ['engine failure before text', [failure(0, false)], 'ab'],
  ['refused connection', [refusedConnection], 'ab'],
  ['reset before text', [unavailable], 'ab'],
  ['reset in the stream', [text('a'), unavailable], 'ab'],
  ['end without terminal chunk', [text('a')], 'ab'],
])('recovers from: %s', async (_name, steps, expected) => {
  const result = await run([
    {
      name: 'one',
      offer: () => first,
      dispatch: ({ attempt }) => (attempt === 1 ? steps : [text('a'), text('b'), end]),
    },
    {
      name: 'two',
      offer: () => second,
      dispatch: (req) => (req.deliveredText ? [text('b'), end] : [text('a'), text('b'), end]),
    },
  ]);
  expect(result.error).toBeUndefined();
  expect(result.responseText).toBe(expected);
  expect(result.events.at(-1)).toMatchObject({ kind: 'end', outputTokens: 2 });
});

// Guards against avoiding a target, or using the retry budget, because the entry's view was stale.
test('a stale-view refusal is retried at once on the same target without budget', async () => {
  const { agents, responseText, budget, clock } = await run([
    {
      name: 'one',
      offer: () => first,
      dispatch: ({ attempt }) =>
        attempt === 1 ? [failure(RefusalReason.INCARNATION)] : [text('a'), end],
    },
    { name: 'two', offer: () => second },
  ]);
  expect(responseText).toBe('a');
  expect(agents.map(({ dispatched }) => dispatched.length)).toEqual([2, 0]);
  expect(budget.available).toBe(10);
  expect(clock.now()).toBe(50);
});

// Guards against a refusal that hides that work may have run, or that advises too long a wait.
test.each([
  ['all full', [failure(2)], 2, { code: 'overloaded', work: 'not-run', retryAfterMs: 40 }],
  ['all too late', [failure(3)], 3, { code: 'deadline', work: 'not-run', retryAfterMs: 40 }],
  ['engines failed', [failure(0, false)], 0, { code: 'targetFailed', work: 'unknown' }],
  ['engines refused', [failure(0, true)], 0, { code: 'overloaded', work: 'not-run' }],
  ['reset', [unavailable], 0, { code: 'targetFailed', work: 'unknown' }],
  ['refused connection', [refusedConnection], 0, { code: 'overloaded', work: 'not-run' }],
  ['interrupted stream', [text('a'), unavailable], 0, { code: 'targetFailed', work: 'unknown' }],
])('ends with an explicit error: %s', async (_name, steps, refusalReason, expected) => {
  const offer = () => ({ refusal: refusalReason, retryAfterMs: 40 });
  const broken = ({ deliveredText }: { readonly deliveredText: string }) =>
    deliveredText ? [unavailable] : steps;
  const specs = ['one', 'two'].map((name) => ({ name, offer, dispatch: broken }));
  const { error, events } = await run(specs);
  expect(error).toMatchObject(expected);
  expect(events.some(({ kind }) => kind === 'end')).toBe(false);
});

// Guards against a continuation that mixes the texts of two weights versions.
test('a stream is not continued on other weights', async () => {
  const { agents, error, responseText } = await run([
    { name: 'one', offer: () => first, dispatch: () => [text('a'), unavailable] },
    {
      name: 'two',
      status: { weightsVersion: 'v2' },
      offer: () => ({ ...second, weightsVersion: 'v2' }),
    },
  ]);
  expect(agents[1]?.dispatched).toHaveLength(0);
  expect(agents[0]?.dispatched.every(({ weightsVersion }) => weightsVersion === 'v1')).toBe(true);
  // The target interrupts every stream after one chunk; the number of attempts is still bounded.
  expect(responseText.length).toBeLessThanOrEqual(12);
  expect(error).toMatchObject({ code: 'targetFailed', work: 'unknown' });
});

const slowPrimary: FakeAgentSpec = {
  name: 'one',
  offer: () => first,
  dispatch: () => [2_000, text('late'), end],
};
const fastSecondary: FakeAgentSpec = {
  name: 'two',
  offer: () => second,
  dispatch: () => [10, text('x'), 100, text('y'), end],
};

// Guards against chunks of both attempts in one response, and a losing attempt that continues.
test('the faster attempt wins and the other is cancelled', async () => {
  const { agents, responseText, events } = await run([slowPrimary, fastSecondary]);
  expect(responseText).toBe('xy');
  expect(events[0]).toEqual({ kind: 'accepted', target: 'two', attempt: 2 });
  expect(agents[0]?.cancelled).toEqual([1]);
  expect(agents[1]?.cancelled).toEqual([]);
});

// Guards against hedges that add load, repeat a non-idempotent request, or break a started stream.
test.each([
  ['empty budget', {}, fastSecondary, slowPrimary, { emptyBudget: true }],
  ['no free slot', {}, { ...fastSecondary, status: { running: 8 } }, slowPrimary, {}],
  ['non-idempotent request', {}, fastSecondary, slowPrimary, { request: { isIdempotent: false } }],
  [
    'after the first token',
    {},
    fastSecondary,
    { ...slowPrimary, dispatch: () => [text('la'), 2_000, text('te'), end] },
    {},
  ],
])('does not hedge: %s', async (_name, _fields, secondary, primary, options) => {
  const { agents, responseText } = await run([primary, secondary], options);
  expect(responseText).toBe('late');
  expect(agents[1]?.dispatched).toHaveLength(0);
});

// Guards against a second run of a non-idempotent request that may have run.
test.each([
  ['before text', [failure(0, false)]],
  ['in the stream', [text('a'), unavailable]],
])('does not retry a non-idempotent request that may have run: %s', async (_name, steps) => {
  const specs = ['one', 'two'].map((name) => ({ name, dispatch: () => steps }));
  const { agents, error } = await run(specs, { request: { isIdempotent: false } });
  expect(agents.flatMap(({ dispatched }) => dispatched)).toHaveLength(1);
  expect(error).toMatchObject({ code: 'targetFailed', work: 'unknown' });
});

// Guards against retries beyond the budget, and against streams that fail because it is empty.
test('an empty budget stops retries but not continuations', async () => {
  const dispatch = ({ attempt }: { readonly attempt: number }) =>
    attempt === 1 ? [failure(0, false)] : [text('a'), end];
  const retried = await run([{ name: 'one', dispatch }], { emptyBudget: true });
  expect(retried.error).toMatchObject({ code: 'targetFailed' });
  const broken = ({ attempt }: { readonly attempt: number }) =>
    attempt === 1 ? [text('a'), unavailable] : [text('b'), end];
  const continued = await run([{ name: 'one', dispatch: broken }], { emptyBudget: true });
  expect(continued.responseText).toBe('ab');
});

// Guards against faults of one model that use up the retries of all others.
test('an empty budget of another model stops no retries', async () => {
  const dispatch = ({ attempt }: { readonly attempt: number }) =>
    attempt === 1 ? [failure(0, false)] : [text('a'), end];
  const { responseText } = await run([{ name: 'one', dispatch }], { emptyBudgetOf: 'other' });
  expect(responseText).toBe('a');
});

// Guards against attempts that continue after the deadline or after the caller disconnects.
test('the deadline and a caller that disconnects cancel the attempt', async () => {
  const slow = { name: 'one', dispatch: () => [5_000, text('a'), end] };
  const late = await run([slow], { request: { deadlineMs: 300 } });
  expect(late.error).toMatchObject({ code: 'deadline', work: 'unknown' });
  expect(late.agents[0]?.cancelled).toEqual([1]);
  expect(late.clock.now()).toBeLessThanOrEqual(350);
  const disconnected = await run([slow], { cancelAfterMs: 100 });
  expect(disconnected.error).toMatchObject({ name: 'CancelledError' });
  expect(disconnected.agents[0]?.cancelled).toEqual([1]);
});

// Guards against callers that wait for a slow target, or a target that is never probed.
test.each([
  ['a copy is sent to the slow target', {}, 1],
  ['no copy without budget', { emptyBudget: true }, 0],
  ['no copy of a non-idempotent request', { request: { isIdempotent: false } }, 0],
])('sends probes separately from the request: %s', async (_name, options, probes) => {
  const steps = Array.from({ length: 20 }, () => [100, text('p')]).flat();
  const specs = ['one', 'two', 'three'].map((name) => ({
    name,
    offer: () => (name === 'one' ? first : second),
    ...(name === 'one' && { dispatch: () => [...steps, end] }),
  }));
  const { agents, responseText, events, clock } = await run(specs, { slow: 'one', ...options });
  expect(responseText).toBe('a');
  expect(events[0]).toMatchObject({ attempt: 1 });
  await clock.advance(3_000);
  const [probed] = agents;
  expect(probed?.dispatched).toHaveLength(probes);
  // With the caller's id first, records attribute the probe's cached blocks to the right team.
  const isProbe = ({ requestId }: DispatchRequest) => /^request-1\.probe-.+/.test(requestId);
  expect(probed?.dispatched.every(isProbe)).toBe(true);
  expect(probed?.cancelled).toHaveLength(probes);
  expect(probed?.closed).toHaveLength(probes);
});
