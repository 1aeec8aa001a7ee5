import { describe, expect, it } from 'vitest';
import { createMemoryTable } from '../../src/adapters/memory/table.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { createNullLogger } from '../../src/base/logging.js';
import { createSeededRandom } from '../../src/base/random.js';
import { createRequestContent, type RequestContent } from '../../src/quarantine/content.js';
import { createEvidence } from '../../src/quarantine/evidence.js';
import {
  createQuarantine,
  type Quarantine,
  type Quarantined,
} from '../../src/quarantine/quarantine.js';
import { createEvidenceShare, type EvidenceShare } from '../../src/quarantine/share.js';
import { singleEra } from '../../src/storeera/eras.js';
import { createManualClock } from '../standins/clock.js';
import { createFaultyTable } from '../standins/faultytable.js';

const holdMs = 3_600_000;

/** A request with a body of its own, so that no two requests have the same content. */
const request = (body: string, ...ids: string[]): RequestContent =>
  createRequestContent({
    service: 'llm',
    method: 'POST',
    path: '/fit/x',
    parts: ids.map((id) => ({ id, tokens: 100 })),
    body: Buffer.from(body),
  });

let prompts = 0;

const prompt = (...ids: string[]): RequestContent => {
  prompts += 1;
  return request(`prompt ${prompts}`, ...ids, 'last');
};

interface Gateway {
  readonly quarantine: Quarantine;
  readonly share: EvidenceShare;
}

/** Gateways that share a store; hints are exchanged only by `exchangeHints`. */
function setUp(count: number) {
  const clock = createManualClock();
  const table = createFaultyTable(createMemoryTable());
  const startGateway = (seed: number): Gateway => {
    const evidence = createEvidence(clock);
    const share = createEvidenceShare({ clock, evidence, requestHint: () => undefined });
    const quarantine = createQuarantine({
      clock,
      random: createSeededRandom(seed),
      log: createNullLogger(),
      table,
      eras: singleEra,
      evidence,
      share,
      holdMs,
      token: noCancellation,
    });
    return { quarantine, share };
  };
  const gateways = Array.from({ length: count }, (_, index) => startGateway(index + 1));
  const exchangeHints = (isLost: (from: number, to: number) => boolean = () => false): void => {
    for (const [from, { share }] of gateways.entries()) {
      const hint = share.pack();
      for (const [to, peer] of gateways.entries()) {
        if (!hint || from === to || isLost(from, to)) continue;
        const { suspected, cleared } = peer.share.merge(hint);
        peer.quarantine.release(cleared);
        peer.quarantine.recheck(suspected);
      }
    }
  };
  /** Delivers all rows to a gateway, as its watch does after a change. */
  const deliverRows = async ({ quarantine }: Gateway): Promise<void> => {
    const items = await table.query('', '', 100, noCancellation);
    const rows = items.map(({ sort, value, version }) => ({ key: sort, value, version }));
    quarantine.observeRows({ rows, isSnapshot: true });
  };
  const deliverAll = async (): Promise<void> => {
    for (const gateway of gateways) await deliverRows(gateway);
  };
  const at = (index: number): Gateway => gateways[index] as Gateway;
  /** Two crashes at different gateways, then time for the write into the store. */
  const crashTwice = async (): Promise<void> => {
    at(0).quarantine.observeCrash('t1', [prompt('dead', 's1')]);
    await clock.advance(300);
    at(1 % count).quarantine.observeCrash('t2', [prompt('dead', 's2')]);
    exchangeHints();
    await clock.advance(2_000);
    await deliverAll();
  };
  return {
    clock,
    table,
    gateways,
    at,
    startGateway,
    exchangeHints,
    deliverRows,
    deliverAll,
    crashTwice,
  };
}

const isHeld = ({ quarantine }: Gateway, ...ids: string[]): boolean =>
  quarantine.find(prompt(...ids)) !== undefined;

/** Tries to send one prompt with the part at each gateway; returns how many get a trial. */
async function countTrials(gateways: readonly Gateway[]): Promise<number> {
  const claims = gateways.map(async ({ quarantine }) => {
    const held = quarantine.find(prompt('dead'));
    return held !== undefined && (await quarantine.claimTrial(held, noCancellation));
  });
  return (await Promise.all(claims)).filter(Boolean).length;
}

describe('the quarantine of prompt parts', () => {
  it('holds at all gateways although no two crashes were seen by the same one', async () => {
    const { gateways, crashTwice } = setUp(3);
    await crashTwice();
    expect(gateways.map((gateway) => isHeld(gateway, 'dead'))).toEqual([true, true, true]);
    expect(gateways.map((gateway) => isHeld(gateway, 's1'))).toEqual([false, false, false]);
  });

  it('reaches a gateway that hears no hints through the store', async () => {
    const { at, clock, exchangeHints, deliverAll } = setUp(3);
    at(0).quarantine.observeCrash('t1', [prompt('dead', 's1')]);
    await clock.advance(300);
    at(1).quarantine.observeCrash('t2', [prompt('dead', 's2')]);
    exchangeHints((_from, to) => to === 2);
    expect(isHeld(at(2), 'dead')).toBe(false);
    await clock.advance(2_000);
    await deliverAll();
    expect(isHeld(at(2), 'dead')).toBe(true);
  });

  it('holds while the store is away, and is written once it is back', async () => {
    const { at, clock, table, exchangeHints, startGateway, deliverRows } = setUp(2);
    table.fault = 'down';
    at(0).quarantine.observeCrash('t1', [prompt('dead', 's1')]);
    await clock.advance(300);
    at(1).quarantine.observeCrash('t2', [prompt('dead', 's2')]);
    exchangeHints();
    await clock.advance(20_000);
    expect([isHeld(at(0), 'dead'), isHeld(at(1), 'dead')]).toEqual([true, true]);
    expect(await countTrials([at(0), at(1)])).toBe(0);
    table.fault = 'none';
    await clock.advance(6_000);
    const restarted = startGateway(9);
    await deliverRows(restarted);
    expect(isHeld(restarted, 'dead')).toBe(true);
  });

  it('allows one trial at a time in the whole fleet, and three in all', async () => {
    const { clock, gateways, crashTwice, deliverAll } = setUp(5);
    await crashTwice();
    expect(await countTrials(gateways)).toBe(0);
    const trials: number[] = [];
    for (let minute = 0; minute < 40; minute += 1) {
      await clock.advance(60_000);
      trials.push(await countTrials(gateways));
      await deliverAll();
    }
    expect(Math.max(...trials)).toBe(1);
    expect(trials.reduce((total, count) => total + count, 0)).toBe(3);
    expect(isHeld(gateways[0] as Gateway, 'dead')).toBe(true);
  });

  it('is lifted everywhere when a trial is answered', async () => {
    const { clock, gateways, at, crashTwice, exchangeHints, table } = setUp(3);
    await crashTwice();
    await clock.advance(6_000);
    expect(await countTrials([at(0)])).toBe(1);
    at(0).quarantine.observeAnswer(prompt('dead'));
    exchangeHints();
    expect(gateways.map((gateway) => isHeld(gateway, 'dead'))).toEqual([false, false, false]);
    await clock.advance(1);
    expect(await table.query('', '', 10, noCancellation)).toEqual([]);
  });

  it('is lifted when an operator removes its row, until new crashes accuse the part', async () => {
    const { at, gateways, crashTwice, clock } = setUp(2);
    await crashTwice();
    for (const { quarantine } of gateways) quarantine.observeRows({ rows: [], isSnapshot: true });
    expect(isHeld(at(0), 'dead')).toBe(false);
    await clock.advance(60_000);
    at(0).quarantine.observeCrash('t3', [prompt('dead', 's3')]);
    expect(isHeld(at(0), 'dead')).toBe(false);
    await clock.advance(300);
    at(0).quarantine.observeCrash('t4', [prompt('dead', 's4')]);
    expect(isHeld(at(0), 'dead')).toBe(true);
  });

  it('ends after its hold time, which bounds the rows in the store', async () => {
    const { at, clock, table, crashTwice } = setUp(1);
    await crashTwice();
    await clock.advance(holdMs + 1);
    expect(isHeld(at(0), 'dead')).toBe(false);
    await clock.advance(1);
    expect(await table.query('', '', 10, noCancellation)).toEqual([]);
  });

  it('recalls the requests that already wait at an engine', async () => {
    const { at, crashTwice } = setUp(2);
    const recalled: string[] = [];
    at(0).quarantine.trackWaiting(prompt('dead', 's5'), () => recalled.push('dead'));
    at(0).quarantine.trackWaiting(prompt('sound', 's6'), () => recalled.push('sound'));
    at(0)
      .quarantine.trackWaiting(prompt('dead', 's7'), () => recalled.push('begun'))
      .dispose();
    await crashTwice();
    expect(recalled).toEqual(['dead']);
  });

  it('holds the rest of a combination when a prompt with one of its parts is answered', async () => {
    const { at, clock } = setUp(1);
    const { quarantine } = at(0);
    for (const target of ['t1', 't2']) {
      quarantine.observeCrash(target, [prompt('dead', 'shared')]);
      await clock.advance(300);
    }
    expect(isHeld(at(0), 'dead')).toBe(false);
    quarantine.observeAnswer(prompt('shared'));
    expect([isHeld(at(0), 'dead'), isHeld(at(0), 'shared')]).toEqual([true, false]);
  });

  it('holds a request that crashed two engines whatever its parts, not the others with its parts', async () => {
    const { at, clock, gateways, exchangeHints } = setUp(3);
    const dead = request('dead', 'shared', 'last');
    const sound = request('sound', 'shared', 'last');
    for (const [index, target] of ['t1', 't2'].entries()) {
      at(2).quarantine.observeAnswer(sound);
      at(index).quarantine.observeCrash(target, [dead, prompt('shared')]);
      exchangeHints();
      await clock.advance(300);
    }
    const held = gateways.map(({ quarantine }) => [quarantine.find(dead), quarantine.find(sound)]);
    const holding = { partIds: [dead.id], crashes: 2, trials: 0, retryAfterMs: undefined };
    expect(held).toEqual(gateways.map(() => [holding, undefined]));
  });

  it('holds a call without a prompt, also at a gateway that started later, until its trial is answered', async () => {
    const { at, clock, deliverAll, exchangeHints, startGateway, deliverRows } = setUp(2);
    const dead = request('dead');
    for (const target of ['t1', 't2']) {
      at(0).quarantine.observeCrash(target, [dead]);
      exchangeHints();
      await clock.advance(300);
    }
    await clock.advance(2_000);
    await deliverAll();
    const restarted = startGateway(9);
    await deliverRows(restarted);
    expect(restarted.quarantine.find(dead)?.partIds).toEqual([dead.id]);
    await clock.advance(5_000);
    const held = restarted.quarantine.find(dead) as Quarantined;
    expect(await restarted.quarantine.claimTrial(held, noCancellation)).toBe(true);
    restarted.quarantine.observeAnswer(dead);
    await clock.advance(1);
    await deliverAll();
    expect([at(0), at(1)].map(({ quarantine }) => quarantine.find(dead))).toEqual([
      undefined,
      undefined,
    ]);
  });

  it('allows three trials in all of a request that is held for its content and for a part', async () => {
    const { at, clock, deliverAll } = setUp(1);
    const { quarantine } = at(0);
    const dead = request('dead', 'part', 'last');
    for (const target of ['t1', 't2']) {
      quarantine.observeCrash(target, [dead]);
      await clock.advance(300);
    }
    expect(quarantine.size).toBe(2);
    let trials = 0;
    for (let minute = 0; minute < 40; minute += 1) {
      await clock.advance(60_000);
      await deliverAll();
      const held = quarantine.find(dead) as Quarantined;
      if (await quarantine.claimTrial(held, noCancellation)) trials += 1;
      await deliverAll();
    }
    expect(trials).toBe(3);
  });

  it('recalls the repeats of a request that wait at engines when its content is held', async () => {
    const { at, clock } = setUp(1);
    const { quarantine } = at(0);
    const recalled: string[] = [];
    for (const body of ['dead', 'sound'])
      quarantine.trackWaiting(request(body, 'shared', 'last'), () => recalled.push(body));
    for (const target of ['t1', 't2']) {
      quarantine.observeAnswer(prompt('shared'));
      quarantine.observeCrash(target, [request('dead', 'shared', 'last')]);
      await clock.advance(300);
    }
    expect(recalled).toEqual(['dead']);
  });

  it('does not go on holding sound prompts with a shared part once a peer names the part that was with it', async () => {
    const { at, clock, gateways, exchangeHints, deliverAll, table } = setUp(3);
    at(0).quarantine.observeCrash('t1', [prompt('shared', 'dead')]);
    await clock.advance(300);
    exchangeHints();
    at(1).quarantine.observeCrash('t2', [prompt('shared', 'beside')]);
    expect(isHeld(at(1), 'shared', 'other')).toBe(true);
    at(0).quarantine.observeCrash('t2', [prompt('shared', 'dead')]);
    exchangeHints();
    const heldParts = (): boolean[] =>
      gateways.flatMap((gateway) => [
        isHeld(gateway, 'shared', 'other'),
        isHeld(gateway, 'shared', 'dead'),
      ]);
    expect(heldParts()).toEqual([false, true, false, true, false, true]);
    await clock.advance(4_000);
    await deliverAll();
    expect(heldParts()).toEqual([false, true, false, true, false, true]);
    const rows = await table.query('', '', 10, noCancellation);
    expect(rows.map(({ value }) => (JSON.parse(value) as { partIds: unknown }).partIds)).toEqual([
      ['dead', 'shared'],
    ]);
  });

  it('replaces a combination of parts by a smaller one that explains more crashes', async () => {
    const { at, clock, table } = setUp(1);
    const { quarantine } = at(0);
    for (const target of ['t1', 't2']) {
      quarantine.observeCrash(target, [prompt('dead', 'always')]);
      await clock.advance(300);
    }
    expect([isHeld(at(0), 'dead', 'always'), isHeld(at(0), 'dead', 'other')]).toEqual([
      true,
      false,
    ]);
    quarantine.observeCrash('t3', [prompt('dead', 'other')]);
    expect([isHeld(at(0), 'dead', 'new'), isHeld(at(0), 'always')]).toEqual([true, false]);
    await clock.advance(4_000);
    const rows = await table.query('', '', 10, noCancellation);
    expect(rows.map(({ value }) => (JSON.parse(value) as { partIds: unknown }).partIds)).toEqual([
      ['dead'],
    ]);
  });
});
