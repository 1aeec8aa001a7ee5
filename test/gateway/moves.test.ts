import { describe, expect, it } from 'vitest';
import { type GatewayCall } from '../../src/gateway/calls.js';
import { createMover, type MoveRequest, type StayReason } from '../../src/gateway/moves.js';
import { type Choice, type Placement } from '../../src/gateway/placement.js';
import { type Target } from '../../src/gateway/targets.js';

interface Case {
  readonly kind: 'safe' | 'unsafe' | 'stream';
  readonly isResumable: boolean;
  readonly ranOnCount: number;
  readonly hasStarted: boolean;
  readonly remainingMs: number;
  readonly isQuarantined: boolean;
  readonly hasTarget: boolean;
  readonly isTooLate: boolean;
  readonly hasBudget: boolean;
}

const movable: Case = {
  kind: 'stream',
  isResumable: true,
  ranOnCount: 1,
  hasStarted: false,
  remainingMs: 2_000,
  isQuarantined: false,
  hasTarget: true,
  isTooLate: false,
  hasBudget: true,
};

const placement = {} as unknown as Placement;

function reserve(change: Partial<Case>) {
  const options = { ...movable, ...change };
  const withdrawn: number[] = [];
  const reserveMove = createMover({
    placer: {
      choose: () => (options.hasTarget ? ({ target: {} as Target } as Choice) : undefined),
      place: () => placement,
    },
    limits: { tryTake: () => true },
    quarantine: {
      find: () =>
        options.isQuarantined ? { partIds: [], crashes: 1, retryAfterMs: 1 } : undefined,
    } as unknown as Parameters<typeof createMover>[0]['quarantine'],
  });
  const { kind, isResumable, hasStarted } = options;
  const time = { remainingMs: () => options.remainingMs };
  const move = reserveMove({
    call: {
      route: { kind, isResumable, maxTargets: 2 },
      response: { hasStarted },
      deadline: time,
      timeout: time,
    } as unknown as GatewayCall,
    content: {} as MoveRequest['content'],
    placementRequest: {} as MoveRequest['placementRequest'],
    excluded: new Set(),
    ranOnCount: options.ranOnCount,
    isTooLate: () => options.isTooLate,
    tryWithdraw() {
      withdrawn.push(1);
      return options.hasBudget;
    },
  });
  return { move, withdrawals: withdrawn.length };
}

describe('a silent attempt', () => {
  it('moves when another target and the budget are reserved', () => {
    expect(reserve({})).toEqual({ move: { kind: 'reserved', placement }, withdrawals: 1 });
  });

  it.each<[string, Partial<Case>, StayReason]>([
    ['of a stream that may run only once', { isResumable: false }, 'route'],
    ['of an unsafe call', { kind: 'unsafe', isResumable: false }, 'route'],
    ['at the last target of its route', { ranOnCount: 2 }, 'route'],
    [
      'of a safe call that was passed on in part',
      { kind: 'safe', hasStarted: true },
      'partly-sent',
    ],
    ['of a stream that was passed on in part', { hasStarted: true }, 'partly-sent'],
    ['near its deadline', { remainingMs: 50 }, 'no-time'],
    ['with a quarantined prompt', { isQuarantined: true }, 'quarantined'],
    ['without another target', { hasTarget: false }, 'no-target'],
    ['that would outlast a stopping process', { isTooLate: true }, 'no-time'],
  ])('%s stays and takes no budget', (_name, change, reason) => {
    expect(reserve(change)).toEqual({ move: { kind: 'stay', reason }, withdrawals: 0 });
  });

  it('stays without budget', () => {
    expect(reserve({ hasBudget: false }).move).toEqual({ kind: 'stay', reason: 'no-budget' });
  });
});
