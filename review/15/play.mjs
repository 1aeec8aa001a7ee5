import { bounds } from '../lib-3/gateway.mjs';
import { need, runCase } from '../lib-3/run.mjs';
import { startSite } from '../lib-3/site.mjs';
import { pause, until } from '../lib-3/util.mjs';

const copyAgeMs = 4_000;
const awayMs = 1_000;

/** Pairs of orders to one engine that two holders gave with the same epoch number. */
function findShared(orders) {
  const holderOf = new Map();
  const breaches = new Map();
  for (const { holder, fence } of orders) {
    const known = holderOf.get(fence);
    if (known === undefined) holderOf.set(fence, holder);
    else if (known !== holder)
      breaches.set(
        `${fence}`,
        `holders ${known} and ${holder} both gave orders with epoch ${fence}`,
      );
  }
  return [...breaches.values()];
}

await runCase(
  new URL('record.txt', import.meta.url).pathname,
  async (record, isDisrupted, onEnd) => {
    const site = await startSite(record);
    onEnd(() => site.close());
    const { store, engines, machines } = site;
    need(await until(() => site.isReady()), 'the gateways did not become ready');
    const hasAll = (version) => engines.every((engine) => engine.version >= version);
    // The store has been copied in the meantime.
    await pause(3_000);
    site.nameWeights(2);
    need(await until(() => hasAll(2)), 'weights 2 were not loaded');
    const holder = engines[0].orders.at(-1).holder;
    if (isDisrupted) await store.drill({ copyAgeMs, awayMs });
    await pause(bounds.contactMs + 1_000);
    // A planned restart of one machine, which is not the one that gave the orders.
    const restarted = machines.find(({ name }) => name !== holder);
    await restarted.stop();
    need(await restarted.startAndWait(), 'the gateway did not become ready again');
    await pause(bounds.contactMs + 1_000);
    site.nameWeights(3);
    await until(() => hasAll(3), 20_000);
    await pause(1_000);
    return engines.flatMap(({ id, orders }) =>
      findShared(orders).map((breach) => `ONE: at engine ${id}, ${breach}`),
    );
  },
);
