import { sendPrompt } from '../lib-3/client.mjs';
import { need, runCase } from '../lib-3/run.mjs';
import { host, key, model, startSite } from '../lib-3/site.mjs';
import { bounds } from '../lib-3/gateway.mjs';
import { pause, until } from '../lib-3/util.mjs';

const copyAgeMs = 3_000;
const awayMs = 1_000;

/** Time from the ack until the engines are counted: 1.5 x `versionMs`. */
const judgedAfterMs = 1.5 * bounds.versionMs;

await runCase(
  new URL('record.txt', import.meta.url).pathname,
  async (record, isDisrupted, onEnd) => {
    const site = await startSite(record);
    onEnd(() => site.close());
    const { store, engines, machines } = site;
    need(await until(() => site.isReady()), 'the gateways did not become ready');
    let isOver = false;
    const results = [];
    const callers = machines.map(async ({ port, name }) => {
      while (!isOver) {
        const sentAt = record.now();
        const result = await sendPrompt({
          port,
          host,
          path: '/fit/x',
          key,
          deadlineMs: 4_000,
          model,
        });
        results.push({ ...result, sentAt });
        if (result.status !== 200)
          record.add(`client   ${result.requestId} at ${name}: ${result.status} ${result.end}`);
        await pause(150);
      }
    });
    const hasAll = (version) => engines.every((engine) => engine.version >= version);
    await pause(1_000);
    site.nameWeights(2);
    need(await until(() => hasAll(2)), 'weights 2 were not loaded');
    await pause(2_000);
    site.nameWeights(3);
    need(await until(() => hasAll(3)), 'weights 3 were not loaded');
    if (isDisrupted) {
      await store.drill({ copyAgeMs, awayMs });
    }
    // The store is stable again, and all machines are in touch.
    await pause(bounds.contactMs + 2_000);
    site.nameWeights(4);
    const ackAt = record.now();
    await pause(judgedAfterMs);
    const old = engines.filter(({ version }) => version < 4).map(({ id }) => id);
    record.add(
      `engines  with older weights ${judgedAfterMs} ms after the ack of 4: ${old.join(', ') || 'none'}`,
    );
    await pause(3_000);
    isOver = true;
    await Promise.all(callers);
    const count = (from, to) => {
      const sent = results.filter(({ sentAt }) => sentAt >= from && sentAt < to);
      const served = sent.filter(({ status, end }) => status === 200 && end === 'complete');
      return `${served.length} of ${sent.length}`;
    };
    record.add(`clients  served before the ack of 4: ${count(0, ackAt)}`);
    record.add(`clients  served from 10 s after it on: ${count(ackAt + 10, Infinity)}`);
    const tenth = engines.length / 10;
    return old.length > 1 && old.length > tenth
      ? [`VERSION: ${old.length} of ${engines.length} engines still have older weights`]
      : [];
  },
);
