import fc from 'fast-check';
import { expect, test } from 'vitest';
import { type TableFault } from '../standins/faultytable.js';
import {
  type ObservedResponse,
  createAtMostOnceSite,
  type LinkFault,
  linkFaults,
} from '../standins/atmostoncesite.js';

type Site = ReturnType<typeof createAtMostOnceSite>;

/** Waits for the outcome of a call; advances the clock until it ends or `timeMs` has passed. */
async function waitForOutcome(
  site: Site,
  call: Promise<ObservedResponse>,
  timeMs = 25_000,
): Promise<string> {
  let text = 'no answer';
  call.then(
    ({ outcome, work, replayed }) => {
      text = `${outcome} ${work}${replayed ? ' replayed' : ''}`;
    },
    (err: unknown) => {
      text = `threw ${String(err)}`;
    },
  );
  for (let passed = 0; passed < timeMs && text === 'no answer'; passed += 500) {
    await site.runFor(500);
  }
  return text;
}

/** Sends a call through one entry and repeats it through another one. */
async function sendAndRepeat(site: Site, failAtStep?: number): Promise<string> {
  const first = site.createEntry(failAtStep);
  const text = await waitForOutcome(site, first.send('request-1', 'key-1'), 3_000);
  const repeat = await waitForOutcome(site, site.createEntry().send('request-2', 'key-1'));
  await site.runFor(10_000);
  const runs = site.runs.get('key-1') ?? 0;
  expect(runs).toBeLessThanOrEqual(1);
  return `${text}; repeat: ${repeat}; runs: ${runs}`;
}

// Guards against a call that runs twice, or is lost for ever, when its entry fails at any step.
test('a call runs at most once when its entry fails at any step', async () => {
  const rows: string[] = [];
  for (let step = 1; step <= 8; step += 1) {
    rows.push(`${step}: ${await sendAndRepeat(createAtMostOnceSite(), step)}`);
  }
  expect(rows).toMatchInlineSnapshot(`
    [
      "1: storeDown not-run; repeat: answered completed; runs: 1",
      "2: storeDown not-run; repeat: answered completed; runs: 1",
      "3: no answer; repeat: answered completed; runs: 1",
      "4: no answer; repeat: answered completed replayed; runs: 1",
      "5: no answer; repeat: answered completed replayed; runs: 1",
      "6: no answer; repeat: answered completed replayed; runs: 1",
      "7: answered completed; repeat: answered completed replayed; runs: 1",
      "8: answered completed; repeat: answered completed replayed; runs: 1",
    ]
  `);
});

// Guards against a rejection or a broken connection that is wrongly treated as proof of not-run.
test.each(linkFaults)(
  'a repeated call runs at most once under the link fault %s',
  async (fault) => {
    const site = createAtMostOnceSite();
    site.faults.linkFault = fault;
    expect(await sendAndRepeat(site)).toMatchSnapshot();
  },
);

// Guards against a false outcome when the agent or the service fails at any step.
test('the outcome is correct when the agent or the service fails at any step', async () => {
  const rows: string[] = [];
  for (const atMs of [0, 100, 250, 300, 350]) {
    const site = createAtMostOnceSite();
    if (atMs === 0) site.crashAgent();
    else site.clock.setTimer(atMs, () => site.crashAgent());
    rows.push(`agent at ${atMs} ms: ${await sendAndRepeat(site)}`);
  }
  for (const fault of ['refuse', 'break'] as const) {
    const site = createAtMostOnceSite();
    site.faults.serviceFault = fault;
    rows.push(`service ${fault}: ${await sendAndRepeat(site)}`);
  }
  expect(rows).toMatchInlineSnapshot(`
    [
      "agent at 0 ms: overloaded not-run; repeat: overloaded not-run; runs: 0",
      "agent at 100 ms: outcomeUnknown unknown; repeat: outcomeUnknown unknown; runs: 1",
      "agent at 250 ms: outcomeUnknown unknown; repeat: outcomeUnknown unknown; runs: 1",
      "agent at 300 ms: outcomeUnknown unknown; repeat: outcomeUnknown unknown; runs: 1",
      "agent at 350 ms: outcomeUnknown unknown; repeat: outcomeUnknown unknown; runs: 1",
      "service refuse: targetFailed not-run; repeat: targetFailed not-run; runs: 0",
      "service break: outcomeUnknown unknown; repeat: outcomeUnknown unknown; runs: 1",
    ]
  `);
});

const tableFaults: readonly TableFault[] = ['down', 'loseReplyAfterWrite', 'loseReplyBeforeWrite'];

// Guards against a dispatch without a certain claim, and against a lost settling write.
test('a call runs at most once under each table fault at each write', async () => {
  const rows: string[] = [];
  for (const fault of tableFaults) {
    for (const write of [1, 2]) {
      const site = createAtMostOnceSite();
      const entry = site.createEntry();
      if (write === 1) entry.table.fault = fault;
      else site.clock.setTimer(200, () => Object.assign(entry.table, { fault }));
      const first = await waitForOutcome(site, entry.send('request-1', 'key-1'));
      entry.table.fault = 'none';
      const repeat = await waitForOutcome(site, site.createEntry().send('request-2', 'key-1'));
      rows.push(`${fault} at ${write}: ${first}; ${repeat}; runs ${site.runs.get('key-1') ?? 0}`);
    }
  }
  expect(rows).toMatchInlineSnapshot(`
    [
      "down at 1: storeDown not-run; answered completed; runs 1",
      "down at 2: answered completed; answered completed replayed; runs 1",
      "loseReplyAfterWrite at 1: answered completed; answered completed replayed; runs 1",
      "loseReplyAfterWrite at 2: answered completed; answered completed replayed; runs 1",
      "loseReplyBeforeWrite at 1: storeDown not-run; answered completed; runs 1",
      "loseReplyBeforeWrite at 2: answered completed; answered completed replayed; runs 1",
    ]
  `);
});

// Guards against more table load per call than the stated two writes, and against changed results.
test('a call takes two writes, both result sizes are replayed, a reused key is refused', async () => {
  for (const bodySize of [0, 100_000]) {
    const site = createAtMostOnceSite(bodySize);
    const entry = site.createEntry();
    const first = entry.send('request-1', 'key-1');
    await waitForOutcome(site, first);
    expect({ writes: entry.table.writes, reads: entry.table.reads }).toEqual({
      writes: 2,
      reads: 0,
    });
    const repeat = site.createEntry().send('request-2', 'key-1');
    expect(await waitForOutcome(site, repeat)).toBe('answered completed replayed');
    expect((await repeat).body).toBe((await first).body);
    const other = site.createEntry().send('request-3', 'key-1', { text: 'five reels' });
    expect(await waitForOutcome(site, other)).toBe('keyReused not-run');
  }
});

// Guards against an unknown outcome that operators can't see, or that two of them settle.
test('operators list an unknown outcome and settle it once', async () => {
  const site = createAtMostOnceSite();
  site.clock.setTimer(100, () => site.crashAgent());
  const { claims, send } = site.createEntry();
  expect(await waitForOutcome(site, send('request-1', 'key-1'))).toBe('outcomeUnknown unknown');
  const token = { signal: new AbortController().signal } as never;
  const [claim] = await claims.listUnknown('red', 60_000, token);
  expect(claim?.row.requestId).toBe('request-1');
  if (!claim) return;
  await claims.resolve(claim, 'completed', 'olga');
  await expect(claims.resolve(claim, 'not-run', 'petra')).rejects.toThrow('has changed');
  expect(await claims.listUnknown('red', 60_000, token)).toEqual([]);
  expect(await waitForOutcome(site, send('request-2', 'key-1'))).toBe('outcomeUnknown completed');
});

const action = fc.record({
  afterMs: fc.integer({ min: 0, max: 3_000 }),
  entry: fc.integer({ min: 0, max: 1 }),
  act: fc.constantFrom('send', 'send', 'send', 'crashAgent', 'pause', 'die', 'service', 'table'),
  link: fc.constantFrom<LinkFault>(...linkFaults),
  fault: fc.constantFrom<TableFault>('none', ...tableFaults),
  service: fc.constantFrom<'none' | 'refuse' | 'break'>('none', 'refuse', 'break'),
  deadlineMs: fc.integer({ min: 200, max: 9_000 }),
});

// Guards against a second execution and a false not-run in any interleaving of faults and repeats.
test('random faults and repeats through two entries cause at most one run, no false not-run', async () => {
  const check = fc.asyncProperty(
    fc.array(action, { minLength: 2, maxLength: 14 }),
    async (acts) => {
      const site = createAtMostOnceSite();
      const entries = [site.createEntry(), site.createEntry()] as const;
      const responses: { readonly requestId: string; readonly work: string }[] = [];
      for (const [index, step] of acts.entries()) {
        await site.runFor(step.afterMs);
        const entry = entries[step.entry] ?? entries[0];
        const requestId = `request-${index}`;
        if (step.act === 'send') {
          site.faults.linkFault = step.link;
          entry
            .send(requestId, 'key-1', { deadlineMs: step.deadlineMs })
            .then(({ work }) => responses.push({ requestId, work }))
            .catch(() => undefined);
        }
        if (step.act === 'crashAgent') site.crashAgent();
        if (step.act === 'pause') entry.pause(step.deadlineMs);
        if (step.act === 'die') entry.crash();
        if (step.act === 'service') site.faults.serviceFault = step.service;
        if (step.act === 'table') entry.table.fault = step.fault;
      }
      await site.runFor(20_000);
      expect(site.runs.get('key-1') ?? 0).toBeLessThanOrEqual(1);
      for (const { requestId, work } of responses) {
        if (work === 'not-run') expect(site.runs.get(requestId) ?? 0).toBe(0);
      }
    },
  );
  await fc.assert(check, { seed: 20_261, numRuns: 150 });
});
