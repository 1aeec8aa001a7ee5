import { expect, it } from 'vitest';
import { createStopSchedule, stopReserveMs } from '../../src/daemon/stopschedule.js';
import { createManualClock } from '../standins/clock.js';

it('a late process reserves more of the grace period, up to a sixth', () => {
  const reserves = [0, 50, 150, 1_000].map((delayMs) => [
    stopReserveMs(600, 8_000, delayMs),
    stopReserveMs(600, 3_000, delayMs),
  ]);
  expect(reserves).toMatchInlineSnapshot(`
    [
      [
        600,
        600,
      ],
      [
        800,
        600,
      ],
      [
        1200,
        600,
      ],
      [
        1333.3333333333333,
        600,
      ],
    ]
  `);
});

it('the grace period begins when the signal was sent', () => {
  const clock = createManualClock();
  const delay = { recentMs: 0, boundMs: 400, dispose: () => undefined };
  const schedule = createStopSchedule(clock, delay, 8_000);
  expect(schedule.untilInterruptMs()).toBe(Infinity);
  schedule.begin(100);
  expect(schedule.graceLeftMs()).toBe(7_500);
  expect(schedule.untilInterruptMs()).toBe(6_900);
  expect(schedule.untilCloseMs()).toBe(7_150);
});
