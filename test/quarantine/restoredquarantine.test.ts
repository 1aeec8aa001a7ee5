import { describe, expect, it } from 'vitest';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createRequestContent, type RequestContent } from '../../src/quarantine/content.js';
import { createEvidence } from '../../src/quarantine/evidence.js';
import { createQuarantine } from '../../src/quarantine/quarantine.js';
import { createEvidenceShare } from '../../src/quarantine/share.js';
import { createManualClock } from '../standins/clock.js';
import { createRestorableStore } from '../standins/platform/restorablestore.js';

const table = 'cicadatide';

let prompts = 0;

/** A prompt with the part and a last one of its own. */
const prompt = (partId: string): RequestContent => {
  prompts += 1;
  return createRequestContent({
    service: 'llm',
    method: 'POST',
    path: '/fit/x',
    parts: [
      { id: partId, tokens: 100 },
      { id: `last ${prompts}`, tokens: 100 },
    ],
    body: Buffer.from(`prompt ${prompts}`),
  });
};

function setUp(count: number) {
  const clock = createManualClock();
  const store = createRestorableStore(clock);
  const gateways = Array.from({ length: count }, (_, index) => {
    const client = store.connect();
    const evidence = createEvidence(clock);
    const quarantine = createQuarantine({
      clock,
      random: createSeededRandom(index + 1),
      log: createNullLogger(),
      table: client,
      eras: client.eras,
      evidence,
      share: createEvidenceShare({ clock, evidence, requestHint: () => undefined }),
      holdMs: 3_600_000,
      token: noCancellation,
    });
    return { quarantine, client };
  });
  /** Delivers the whole table to all gateways, as their watches do. */
  const deliver = async (): Promise<void> => {
    for (const { quarantine, client } of gateways) {
      const { rows } = await client.list(table, noCancellation);
      quarantine.observeRows({ rows, isSnapshot: true });
    }
  };
  /** Two engines crash at the first gateway, and the quarantine is written into the store. */
  const crashTwice = async (): Promise<void> => {
    for (const target of ['t1', 't2']) {
      gateways[0]?.quarantine.observeCrash(target, [prompt('deadly')]);
      await clock.advance(300);
    }
    await clock.advance(3_000);
    await deliver();
  };
  const keys = (): readonly string[] => [...store.copy().rows.keys()];
  return { clock, store, gateways, deliver, crashTwice, keys };
}

describe('quarantines of a store that came back from an older copy', () => {
  // Guards against prompts that crash engines again because the store forgot the quarantine (BUDGET).
  it('stay in force, and one gateway writes them again', async () => {
    const { clock, store, gateways, deliver, crashTwice, keys } = setUp(3);
    await deliver();
    const copy = store.copy();
    await crashTwice();
    const sizes = () => gateways.map(({ quarantine }) => quarantine.size);
    expect([sizes(), keys().length]).toEqual([[1, 1, 1], 1]);
    store.restore(copy);
    await deliver();
    expect([sizes(), keys().length]).toEqual([[1, 1, 1], 0]);
    await clock.advance(3_000);
    await deliver();
    expect([sizes(), keys().length]).toEqual([[1, 1, 1], 1]);
    expect(gateways[2]?.quarantine.find(prompt('deadly'))).toBeDefined();
    // Rows that are removed in the new era lift the quarantine as before.
    store.restore(store.copy());
    await deliver();
    for (const name of keys()) store.remove(table, name.split('\n')[2] ?? '');
    await deliver();
    expect(sizes()).toEqual([0, 0, 0]);
  });

  // Guards against sound requests that are refused because the store remembers a lifted quarantine (LOST).
  it('stay lifted while the copy still has them', async () => {
    const { clock, store, gateways, deliver, crashTwice, keys } = setUp(2);
    await deliver();
    await crashTwice();
    const copy = store.copy();
    expect(gateways.map(({ quarantine }) => quarantine.size)).toEqual([1, 1]);
    gateways[0]?.quarantine.observeAnswer(prompt('deadly'));
    await clock.advance(100);
    await deliver();
    store.restore(copy);
    await deliver();
    await deliver();
    expect(gateways.map(({ quarantine }) => quarantine.size)).toEqual([0, 0]);
    // A gateway writes it anew, and the others read it with the whole table.
    const [name = ''] = keys();
    const key = name.split('\n')[2] ?? '';
    store.put(table, key, store.read(table, key) ?? '');
    await deliver();
    expect(gateways.map(({ quarantine }) => quarantine.size)).toEqual([1, 1]);
  });

  it('keep the trials that were made', async () => {
    const { clock, store, gateways, deliver, crashTwice } = setUp(1);
    const [gateway] = gateways;
    await deliver();
    await crashTwice();
    const copy = store.copy();
    await clock.advance(6_000);
    const held = gateway?.quarantine.find(prompt('deadly'));
    expect(await gateway?.quarantine.claimTrial(held!, noCancellation)).toBe(true);
    store.restore(copy);
    await deliver();
    // The delay before the second trial is longer than that before the first one.
    expect(gateway?.quarantine.find(prompt('deadly'))?.retryAfterMs).toBeGreaterThan(10_000);
  });
});
