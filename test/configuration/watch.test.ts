import { afterEach, describe, expect, it } from 'vitest';
import { StoreUnavailableError } from '../../src/base/errors.js';
import { type Disposable } from '../../src/base/lifecycle.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { type RowChange, watchTable } from '../../src/configuration/watch.js';
import { type Row, type RowFeedPort } from '../../src/ports/rows.js';
import { createManualClock } from '../standins/clock.js';

const open: Disposable[] = [];

/** Time beyond its wait after which a call times out. */
const timeoutMs = 1_000;

afterEach(() => {
  for (const item of open.splice(0)) item.dispose();
});

function setUp(startsDown = false, verifyMs?: () => number) {
  const clock = createManualClock();
  const rows = new Map<string, Row>();
  let history: Row[] = [];
  let version = 0;
  let firstKeptVersion = 0;
  let isDown = startsDown;
  const waits: number[] = [];
  const put = (key: string, value: string | undefined): void => {
    version += 1;
    const row = { key, value, version };
    rows.set(key, row);
    history.push(row);
  };
  let isSilent = false;
  let isForgetful = false;
  let replyMs = 0;
  const feed: RowFeedPort = {
    async list() {
      if (isDown) throw new StoreUnavailableError('down');
      if (isForgetful) {
        await new Promise<void>((resolve) => {
          clock.setTimer(4, resolve);
        });
      }
      return { rows: [...rows.values()].filter(({ value }) => value !== undefined), version };
    },
    async changes(_table, after, waitMs, token) {
      waits.push(waitMs);
      // Stops a loop of calls without waits, which would block the manual clock for ever.
      if (waits.length > 200) return new Promise(() => undefined);
      if (isSilent) {
        return new Promise((_resolve, reject) => {
          token.onCancellationRequested((reason) => reject(new StoreUnavailableError(reason)));
        });
      }
      if (isDown) throw new StoreUnavailableError('down');
      if (isForgetful) return 'history-lost';
      if (after < firstKeptVersion) return 'history-lost';
      const changed = history.filter((row) => row.version > after);
      if (changed.length === 0) {
        await new Promise<void>((resolve, reject) => {
          clock.setTimer(waitMs, resolve);
          token.onCancellationRequested((reason) => reject(new StoreUnavailableError(reason)));
        });
      }
      if (replyMs > 0) {
        await new Promise<void>((resolve, reject) => {
          clock.setTimer(Math.min(replyMs, timeoutMs), resolve);
          token.onCancellationRequested((reason) => reject(new StoreUnavailableError(reason)));
        });
        if (replyMs >= timeoutMs) throw new StoreUnavailableError('no answer in time');
      }
      if (after < firstKeptVersion) return 'history-lost';
      return { rows: history.filter((row) => row.version > after), version };
    },
  };
  const changes: RowChange[] = [];
  /** Changes on which the listener throws. */
  let failures = 0;
  const watch = watchTable({
    clock,
    random: createSeededRandom(1),
    log: createNullLogger(),
    feed,
    table: 't',
    waitMs: () => 3_000,
    ...(verifyMs && { verifyMs }),
    onChange(change) {
      if (failures > 0) {
        failures -= 1;
        throw new Error('listener failed');
      }
      changes.push(change);
    },
  });
  open.push(watch);
  return {
    clock,
    watch,
    changes,
    waits,
    put,
    version: () => version,
    /** Writes a row that the feed leaves out although its version moves on. */
    putUnreported(key: string, value: string) {
      put(key, value);
      history.pop();
    },
    failListener(count: number) {
      failures = count;
    },
    compact() {
      history = [];
      version += 1;
      firstKeptVersion = version;
    },
    /** While set, the store has no history for any call. */
    setForgetful(value: boolean) {
      isForgetful = value;
    },
    setSilent(value: boolean) {
      isSilent = value;
    },
    setReplyMs(value: number) {
      replyMs = value;
    },
    setDown(value: boolean) {
      isDown = value;
    },
    received: () =>
      changes.map(({ rows: list, isSnapshot }) => [
        isSnapshot ? 'all' : 'some',
        ...list.map(({ key, value }) => `${key}=${value}`),
      ]),
  };
}

describe('watchTable', () => {
  it('reads the table once and then its changes', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', '2');
    site.put('b', undefined);
    await site.clock.advance(3_100);
    expect(site.received()).toEqual([['all'], ['some', 'a=2', 'b=undefined']]);
  });

  it('reads the whole table again when the store has dropped its history', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', '1');
    site.compact();
    await site.clock.advance(6_500);
    expect(site.received().at(-1)).toEqual(['all', 'a=1']);
  });

  it('reads at a bounded rate while the store keeps no history at all', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setForgetful(true);
    site.put('a', '1');
    site.compact();
    await site.clock.advance(4_000);
    expect(site.received().at(-1)).toEqual(['all', 'a=1']);
    expect(site.waits.length).toBeLessThan(40);
    site.setForgetful(false);
    site.put('a', '2');
    await site.clock.advance(2_000);
    expect(site.received().at(-1)?.at(-1)).toBe('a=2');
  });

  it('reports how old a change may be', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', '1');
    await site.clock.advance(100);
    site.setDown(true);
    await site.clock.advance(4_000);
    site.put('a', '2');
    site.setDown(false);
    await site.clock.advance(1_000);
    site.put('a', '3');
    site.compact();
    await site.clock.advance(6_500);
    const [first, prompt, afterOutage, afterLoss] = site.changes.map(({ maxAgeMs }) => maxAgeMs);
    expect([first, prompt]).toEqual([Infinity, 0]);
    // Not longer than since the store last confirmed that the rows were unchanged.
    for (const maxAgeMs of [afterOutage, afterLoss]) {
      expect(maxAgeMs).toBeGreaterThan(0);
      expect(maxAgeMs).toBeLessThan(7_500);
    }
  });

  it('is not synced before the first read, and reports the time since the last failure', async () => {
    const site = setUp(true);
    await site.clock.advance(2_000);
    expect([site.watch.isSynced, site.watch.ageMs()]).toEqual([false, Infinity]);
    site.setDown(false);
    await site.clock.advance(1_000);
    expect(site.watch.isSynced).toBe(true);
    expect(site.watch.sinceFailureMs()).toBeLessThan(3_000);
  });

  it('reads a change within a second of the end of an outage', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setDown(true);
    await site.clock.advance(10_000);
    site.put('a', 'new');
    site.setDown(false);
    await site.clock.advance(1_000);
    expect(site.received().at(-1)).toEqual(['some', 'a=new']);
    // Calls during the outage do not wait, so that none of them is still open at its end.
    expect(site.waits.slice(2, -1).every((waitMs) => waitMs === 0)).toBe(true);
  });

  it('retries the call when it does not return a change that a peer reported', async () => {
    const site = setUp();
    site.setSilent(true);
    await site.clock.advance(10);
    site.setSilent(false);
    site.put('a', 'new');
    await site.clock.advance(1_000);
    expect(site.received()).toEqual([['all']]);
    site.watch.expectVersion(site.version());
    await site.clock.advance(400);
    expect(site.received().at(-1)).toEqual(['some', 'a=new']);
    expect(site.watch.newestRowVersion).toBe(site.version());
  });

  it('does not abort a slow reply, however often peers report the change', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setSilent(true);
    await site.clock.advance(3_100);
    site.setSilent(false);
    site.setReplyMs(600);
    site.put('a', 'new');
    for (let reports = 0; reports < 30; reports += 1) {
      site.watch.expectVersion(site.version());
      await site.clock.advance(70);
    }
    expect(site.received().at(-1)).toEqual(['some', 'a=new']);
  });

  it('reads the whole table when its changes are too many to arrive in time', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.setDown(true);
    await site.clock.advance(5_000);
    site.put('a', 'new');
    site.setReplyMs(timeoutMs);
    site.setDown(false);
    await site.clock.advance(3_000);
    expect(site.received().at(-1)).toEqual(['all', 'a=new']);
  });

  it('reads a row that the feed has left out when a peer reports its version', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.putUnreported('a', 'new');
    await site.clock.advance(3_100);
    expect(site.received()).toEqual([['all']]);
    site.watch.expectVersion(site.version());
    await site.clock.advance(400);
    expect(site.received().at(-1)).toEqual(['all', 'a=new']);
  });

  it('reads a row that the feed has left out when it verifies the table', async () => {
    const site = setUp(false, () => 1_000);
    await site.clock.advance(10);
    site.putUnreported('a', 'new');
    await site.clock.advance(1_500);
    expect(site.received().at(-1)).toEqual(['all', 'a=new']);
  });

  it('reads a change in time although its open call is on a silent connection', async () => {
    const site = setUp(false, () => 1_000);
    site.setSilent(true);
    await site.clock.advance(10);
    site.setSilent(false);
    site.put('a', 'new');
    await site.clock.advance(1_500);
    expect(site.received().at(-1)?.slice(1)).toEqual(['a=new']);
    site.put('a', 'newer');
    await site.clock.advance(100);
    site.put('a', 'newest');
    await site.clock.advance(3_100);
    expect(site.received().at(-1)?.slice(1)).toContain('a=newest');
  });

  it('reports the table again when its listener has failed on a change', async () => {
    const site = setUp(false, () => 1_000);
    await site.clock.advance(10);
    site.put('a', 'new');
    site.failListener(1);
    await site.clock.advance(5_000);
    expect(site.received().at(-1)).toEqual(['all', 'a=new']);
    const { length } = site.changes;
    await site.clock.advance(10_000);
    expect(site.changes.length).toBe(length);
  });

  it('does not retry for a change that it has read', async () => {
    const site = setUp();
    await site.clock.advance(10);
    site.put('a', 'new');
    await site.clock.advance(3_100);
    const calls = site.waits.length;
    site.watch.expectVersion(site.version());
    await site.clock.advance(1_000);
    expect(site.waits.length).toBe(calls);
  });

  it('does not retry without end for a change that the store does not have', async () => {
    const site = setUp();
    await site.clock.advance(10);
    const calls = site.waits.length;
    site.watch.expectVersion(site.version() + 1_000);
    await site.clock.advance(10_000);
    expect(site.waits.length - calls).toBeLessThan(8);
  });
});
