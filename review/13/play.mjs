import { sendRequest } from '../lib-3/client.mjs';
import { bounds } from '../lib-3/gateway.mjs';
import { need, runCase } from '../lib-3/run.mjs';
import { configOf, host, key, startSite } from '../lib-3/site.mjs';
import { pause, until } from '../lib-3/util.mjs';

const copyAgeMs = 3_000;
const awayMs = 1_000;
const rewriteMs = 100;

/** A key of a second tenant, which the last config no longer has. */
const droppedKey = 'fqasnmgkcuyj8pjbvk9m';

const withKey = (version) => {
  const config = configOf(version);
  const other = { name: 'lomi044', apiKeys: [droppedKey], priority: 1, isolated: false };
  return { ...config, tenants: [...config.tenants, other] };
};

await runCase(
  new URL('record.txt', import.meta.url).pathname,
  async (record, isDisrupted, onEnd) => {
    const site = await startSite(record, { llm: 6, desk: 3, gateways: 6 });
    onEnd(() => site.close());
    const { store, machines, engines, desks, operate } = site;
    need(await until(() => site.isReady()), 'the gateways did not become ready');
    const ask = async (machine, apiKey) => {
      const options = { port: machine.port, host, path: '/look/x', key: apiKey, method: 'GET' };
      return sendRequest({ ...options, deadlineMs: 1_500 });
    };
    const isServed = async (apiKey) => {
      for (const machine of machines) if ((await ask(machine, apiKey)).status !== 200) return false;
      return true;
    };
    need(await until(() => isServed(key)), 'requests are not served');
    await pause(2_000);
    site.nameWeights(2);
    need(await until(() => engines.every(({ version }) => version === 2)), 'no weights 2');
    // The engines tell it with their next check-in.
    await pause(1_300);
    operate('config', withKey(2));
    need(await until(() => isServed(droppedKey)), 'config 2 did not come into force');
    let ackAt;
    const onWritten = () => {
      ackAt = record.now();
    };
    if (isDisrupted) {
      site.operateOnceRestored('config', configOf(3), onWritten);
      await store.drill({ copyAgeMs, awayMs, rewriteMs });
    } else {
      await pause(awayMs);
      operate('config', configOf(3));
      onWritten();
    }
    // The store is stable again, all machines are in touch, and the bound has passed.
    await pause(bounds.contactMs + bounds.configApplyMs + 5_000);
    const breaches = new Map();
    const end = record.now() + 30;
    while (record.now() < end) {
      for (const machine of machines) {
        const { requestId, status } = await ask(machine, droppedKey);
        const ranAt = desks.find(({ runs }) => runs.some((run) => run.requestId === requestId));
        if (!ranAt) continue;
        const afterS = (record.now() - ackAt).toFixed(1);
        record.add(
          `client   ${requestId} with the dropped key at ${machine.name}: ${status}, run by ${ranAt.id}`,
        );
        breaches.set(
          machine.name,
          `CONFIG: ${machine.name} had requests run with a key that was dropped, the last one ${afterS} s after the ack`,
        );
      }
      await pause(1_000);
    }
    return [...breaches.values()];
  },
);
