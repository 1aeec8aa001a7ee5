import { describe, expect, it } from 'vitest';
import { type TargetArrival, type TargetStandin } from '../standins/platform/target.js';
import { type ObservedResponse } from './caller.js';
import { findLostAnswers } from './lostanswers.js';
import { findOverlaps } from './overlaps.js';
import { findExcessRepeats } from './repeats.js';

const whole: ObservedResponse = {
  requestId: 'r1',
  route: 'look',
  sentAt: 1_000,
  endedAt: 1_100,
  status: 200,
  body: '',
  isSigned: true,
  isComplete: true,
  port: 1,
  isConnected: true,
  deadlineMs: 1_500,
  key: 'key-a',
  disconnectedAt: undefined,
};

const target = (id: string, arrivals: readonly TargetArrival[]): TargetStandin =>
  ({ id, arrivals }) as unknown as TargetStandin;

describe('the check of lost answers', () => {
  interface Case {
    readonly change: Partial<ObservedResponse>;
    readonly hasArrived: boolean;
    readonly impaired: string;
    /** Time from SIGTERM to the close. */
    readonly stoppedMs: number;
  }
  const lost: Case = {
    change: { isComplete: false },
    hasArrived: true,
    impaired: '',
    stoppedMs: 50,
  };

  it.each<[string, Partial<Case>, boolean]>([
    ['finds a request that was passed on and cut', {}, true],
    [
      'finds a request that was sent long before the close',
      { hasArrived: false, change: { isComplete: false, endedAt: 1_300 } },
      true,
    ],
    ['leaves out a request that crosses the close', { hasArrived: false }, false],
    ['leaves out a complete answer', { change: {} }, false],
    [
      'leaves out a refused connection',
      { change: { isComplete: false, isConnected: false } },
      false,
    ],
    [
      'leaves out a caller that disconnects',
      { change: { isComplete: false, disconnectedAt: 1_090 } },
      false,
    ],
    [
      'leaves out a request at its deadline',
      { change: { isComplete: false, endedAt: 2_500 } },
      false,
    ],
    ['leaves out an impaired gateway', { impaired: 'gw-0' }, false],
    ['leaves out an impaired target', { impaired: 'desk-1' }, false],
    ['leaves out the last sixth of the grace', { stoppedMs: 2_600 }, false],
  ])('%s', (_name, override, isFound) => {
    const { change, hasArrived, impaired, stoppedMs } = { ...lost, ...override };
    const response = { ...whole, ...change };
    const found = findLostAnswers({
      responses: [response],
      targets: [target('desk-1', hasArrived ? [{ requestId: 'r1', at: 1_010 }] : [])],
      impairments: { begin: () => () => undefined, has: (name) => name === impaired },
      nameOf: () => 'gw-0',
      stopsOf: () => [{ at: response.endedAt - stoppedMs, isRepeated: false }],
      maxEventLoopDelayMs: 0,
    });
    expect(found).toHaveLength(isFound ? 1 : 0);
  });
});

describe('the check of repeats', () => {
  const limits = { ratio: 0.1, slack: 2, windowMs: 10_000 };
  const responses = Array.from({ length: 10 }, () => whole);
  const arrivals = (count: number, stepMs: number): TargetArrival[] =>
    Array.from({ length: count }, (_, at) => ({ requestId: 'r1', at: 1_000 + at * stepMs }));

  it('sums the arrivals at all targets of a service in a window', () => {
    const find = (second: readonly TargetArrival[]) =>
      findExcessRepeats(
        responses,
        [target('desk-1', arrivals(2, 10)), target('desk-2', second), target('llm-1', [])],
        limits,
      );
    expect(find(arrivals(2, 10))).toEqual([]);
    expect(find(arrivals(3, 10))).toMatchObject([
      { detail: 'desk: 4 for 10 requests, 3 are allowed' },
    ]);
  });

  it('leaves out repeats of different windows', () => {
    expect(findExcessRepeats(responses, [target('desk-1', arrivals(5, 4_000))], limits)).toEqual(
      [],
    );
  });
});

describe('the check of streams at two engines', () => {
  const runAt = (startedAt: number, endedAt: number | undefined, from?: string) => ({
    requestId: 'r1',
    headers: { 'kv-from': from },
    ...{ startedAt, endedAt },
  });

  it.each<[string, number | undefined, string, boolean]>([
    ['finds one that both work on', 2_000, '', true],
    ['finds one whose first engine never ended', undefined, '', true],
    ['leaves out one whose first engine had ended', 1_050, '', false],
    ['leaves out an engine that was not reached', 2_000, 'e1', false],
  ])('%s', (_name, endedAt, impaired, isFound) => {
    const engines = [
      { id: 'e1', runs: [runAt(900, endedAt)] },
      { id: 'e2', runs: [runAt(1_100, 2_500, '127.0.0.1:1/r1')] },
    ] as unknown as readonly TargetStandin[];
    const found = findOverlaps({
      targets: engines,
      cutLinks: { begin: () => () => undefined, has: (name) => name === impaired },
      maxEventLoopDelayMs: 0,
    });
    expect(found.length > 0).toBe(isFound);
  });
});
