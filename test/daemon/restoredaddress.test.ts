import { expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { registerGateway } from '../../src/daemon/gatewaypeers.js';
import { createManualClock } from '../standins/clock.js';
import { createRestorableStore } from '../standins/platform/restorablestore.js';

const table = 'cicadatide';

// Guards against gateways that start after a restore and don't count the others.
it.each(['lacks', 'has'])(
  'a gateway registers its address once when the copy %s it',
  async (copied) => {
    const clock = createManualClock();
    const store = createRestorableStore(clock);
    const client = store.connect();
    const empty = store.copy();
    const rows = registerGateway({
      clock,
      random: createSeededRandom(1),
      log: createNullLogger(),
      table: client,
      eras: client.eras,
      instance: 'gw-1',
      address: { host: '10.0.0.1', port: 7340 },
      token: noCancellation,
    });
    /** Delivers the whole table, as its watch does; returns the calls that follow. */
    const deliver = async (): Promise<number> => {
      const list = await client.list(table, noCancellation);
      const { calls } = store;
      rows.observeRows({ rows: list.rows, isSnapshot: true });
      await clock.advance(1_000);
      return store.calls - calls;
    };
    await clock.advance(10);
    const calls = [await deliver()];
    store.restore(copied === 'has' ? store.copy() : empty);
    calls.push(await deliver(), await deliver());
    expect(store.read(table, 'entry.gw-1')).toBe('10.0.0.1:7340');
    expect({ calls, isRegistered: rows.isRegistered }).toMatchSnapshot();
  },
);
