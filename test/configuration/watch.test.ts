import { afterEach, describe, expect, it } from 'vitest';
import { StoreUnavailableError } from '../../src/base/errors.js';
import { type Disposable } from '../../src/base/lifecycle.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { type RowChange, watchTable } from '../../src/configuration/watch.js';
import { type Row, type RowFeedPort } from '../../src/ports/rows.js';
import { createManualClock } from '../standins/clock.js';

const open: Disposable[] = [];

/** Time that a call has for its answer beyond its wait. */
const timeoutMs = 1_000;

afterEach(() => {
  for (const item of open.splice(0)) item.dispose();
});

function setUp(startsDown = false) {
  const clock = createManualClock();
  const rows = new Map<string, Row>();
  let history: Row[] = [];
  let version = 0;
  let firstKept = 0;
  let isDown = startsDown;
  const waits: number[] = [];
  const put = (key: string, value: string | undefined): void => {
    version += 1;
    const row = { key, value, version };
    rows.set(key, row);
    history.push(row);
  };
  let isSilent = false;
  let answerMs = 0;
  const feed: RowFeedPort = {
    async list() {
      if (isDown) throw new StoreUnavailableError('down');
      return { rows: [...rows.values()].filter(({ value }) => value !== undefined), version };
    },
    async changes(_table, after, waitMs, token) {
      waits.push(waitMs);
      // Ends a loop without waits, which the manual clock would never leave.
      if (waits.length > 200) return new Promise(() => undefined);
      if (isSilent) {
        return new Promise((_resolve, reject) => {
          token.onCancellationRequested((reason) => reject(new StoreUnavailableError(reason)));
        });
      }
      if (isDown) throw new StoreUnavailableError('down');
      if (after < firstKept) return 'history-lost';
      const changed = history.filter((row) => row.version > after);
      if (changed.length === 0) {
        await new Promise<void>((resolve) => {
          clock.setTimer(waitMs, resolve);
        });
      }
      if (answerMs > 0) {
        await new Promise<void>((resolve, reject) => {
          clock.setTimer(Math.min(answerMs, timeoutMs), resolve);
          token.onCancellationRequested((reason) => reject(new StoreUnavailableError(reason)));
        });
        if (answerMs >= timeoutMs) throw new StoreUnavailableError('no answer in time');
      }
      if (after < firstKept) return 'history-lost';
      return { rows: history.filter((row) => row.version > after), version };
    },
  };
  const changes: RowChange[] = [];
  const watch = watchTable({
    clock,
    random: createSeededRandom(1),
    log: createNullLogger(),
    feed,
    table: 't',
    waitMs: () => 3_000,
    onChange: (change) => changes.push(change),
  });
  open.push(watch);
  return {
    clock,
    watch,
    changes,
    waits,
    put,
    version: () => version,
    compact() {
      history = [];
      version += 1;
      firstKept = version;
    },
    setSilent(value: boolean) {
      isSilent = value;
    },
    setAnswerMs(value: number) {
      answerMs = value;
    },
    setDown(value: boolean) {
      isDown = value;
    },
    seen: () =>
      changes.map(({ rows: list, isSnapshot }) => [
        isSnapshot ? 'all' : 'some',
        ...list.map(({ key, value }) => `${key}=${value}`),
      ]),
  };
}

describe('the watch of a table', () => {
  it('reads the table once and then its changes', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', '2');
    site.put('b', undefined);
    await site.clock.advance(3_100);
    expect(site.seen()).toEqual([['all'], ['some', 'a=2', 'b=undefined']]);
  });

  it('reads the table again when its history is gone', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', '1');
    site.compact();
    await site.clock.advance(6_500);
    expect(site.seen().at(-1)).toEqual(['all', 'a=1']);
  });

  it('knows no state before the first read, and says how old it is after a failure', async () => {
    const site = setUp(true);
    await site.clock.advance(2_000);
    expect([site.watch.isSynced, site.watch.ageMs()]).toEqual([false, Infinity]);
    site.setDown(false);
    await site.clock.advance(1_000);
    expect(site.watch.isSynced).toBe(true);
    expect(site.watch.sinceFailureMs()).toBeLessThan(3_000);
  });

  it('hears of a change within a second of the end of an outage', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setDown(true);
    await site.clock.advance(10_000);
    site.put('a', 'new');
    site.setDown(false);
    await site.clock.advance(1_000);
    expect(site.seen().at(-1)).toEqual(['some', 'a=new']);
    // Calls during the outage do not wait, so that none of them is still open at its end.
    expect(site.waits.slice(2, -1).every((waitMs) => waitMs === 0)).toBe(true);
  });

  it('asks again over another connection when a peer saw a change that it did not hear of', async () => {
    const site = setUp();
    site.setSilent(true);
    await site.clock.advance(10);
    site.setSilent(false);
    site.put('a', 'new');
    await site.clock.advance(1_000);
    expect(site.seen()).toEqual([['all']]);
    site.watch.expect(site.version());
    await site.clock.advance(400);
    expect(site.seen().at(-1)).toEqual(['some', 'a=new']);
    expect(site.watch.changedAt).toBe(site.version());
  });

  it('lets a slow answer arrive, however often peers tell of the change', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setSilent(true);
    await site.clock.advance(3_100);
    site.setSilent(false);
    site.setAnswerMs(600);
    site.put('a', 'new');
    for (let told = 0; told < 30; told += 1) {
      site.watch.expect(site.version());
      await site.clock.advance(70);
    }
    expect(site.seen().at(-1)).toEqual(['some', 'a=new']);
  });

  it('reads the table whole when its changes are too many to arrive in time', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setDown(true);
    await site.clock.advance(5_000);
    site.put('a', 'new');
    site.setAnswerMs(timeoutMs);
    site.setDown(false);
    await site.clock.advance(3_000);
    expect(site.seen().at(-1)).toEqual(['all', 'a=new']);
  });

  it('does not ask again for a change that it knows', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', 'new');
    await site.clock.advance(3_100);
    const calls = site.waits.length;
    site.watch.expect(site.version());
    await site.clock.advance(1_000);
    expect(site.waits.length).toBe(calls);
  });

  it('does not ask again and again for a change that the store does not know', async () => {
    const site = setUp();
    await site.clock.advance(10);
    const calls = site.waits.length;
    site.watch.expect(site.version() + 1_000);
    await site.clock.advance(10_000);
    expect(site.waits.length - calls).toBeLessThan(8);
  });
});
