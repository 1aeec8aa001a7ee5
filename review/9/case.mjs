// An engine crashes a quarter of a second after it has loaded new weights under its runs.
import { startEngine, model } from '../lib-2/engine.mjs';
import { pause, startGateway, until } from '../lib-2/gateway.mjs';
import { configuration, createRecord, sendPrompt } from '../lib-2/site.mjs';
import { startStore } from '../lib-2/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** Time between the end of the load and the crash. */
const crashAfterMs = Number(process.env.CRASH_AFTER_MS ?? 250);
const record = createRecord('record.txt');
const closers = [];
let code = 2;
/** A script runs for 120 s at most. */
const limitMs = 90_000;

async function play() {
  const store = await startStore();
  closers.push(() => store.close());
  store.put('op', 'config', configuration(3));
  store.put('op', `version/${model}`, { model, version: 1 });
  const engines = [];
  for (const id of ['e-1', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6'])
    engines.push(await startEngine({ id, store, record: record.add }));
  closers.push(() => engines.forEach((engine) => engine.close()));
  const gateways = [];
  for (const name of ['front-1', 'front-2']) {
    const gateway = await startGateway({ name, host: '127.0.0.1', store: store.address });
    gateways.push(gateway);
    closers.push(() => gateway.close());
  }
  await until('gateways are ready', async () =>
    (await Promise.all(gateways.map((gateway) => gateway.isReady()))).every(Boolean),
  );
  await pause(500);

  const answers = [];
  let isPlaying = true;
  const traffic = (async () => {
    for (let index = 0; isPlaying; index += 1) {
      const id = `r${index}`;
      const gateway = gateways[index % gateways.length];
      record.add('sent', { requestId: id, gateway: gateway.name });
      answers.push(
        sendPrompt(gateway, id, { outputs: 75 }).then((answer) => {
          const { status, isComplete } = answer;
          record.add('answered', { requestId: id, status, isComplete });
          return answer;
        }),
      );
      await pause(125);
    }
  })();
  await pause(3_500);
  store.put('op', `version/${model}`, { model, version: 2 });
  record.note('version 2 is named');
  let loaded;
  await until('an engine has version 2 under its runs', () => {
    loaded = engines.find(({ version, runs }) => version === 2 && runs.size > 0);
    return loaded !== undefined;
  });
  await pause(crashAfterMs);
  const lost = [...loaded.runs].map(({ requestId }) => requestId);
  if (hasTrouble) loaded.crash();
  await pause(4_000);
  isPlaying = false;
  await traffic;
  await Promise.all(answers);

  const continued = record.lines.filter(
    ({ what, continuedFrom }) => what === 'run' && continuedFrom,
  );
  const stale = continued.filter(({ version, continuedFrom }) =>
    continuedFrom.some((made) => made !== version),
  );
  record.note(
    `${lost.length} runs when the engine ${hasTrouble ? 'crashed' : 'was left alone'}; ` +
      `${continued.length} runs went on from a copy, ${stale.length} of them on memory of another version`,
  );
  code = stale.length > 0 ? 1 : 0;
  if (hasTrouble && lost.length === 0) code = 2;
}

const timeOver = new Promise((_resolve, reject) => {
  setTimeout(() => reject(new Error('the script took too long')), limitMs).unref();
});

try {
  await Promise.race([play(), timeOver]);
} catch (err) {
  record.note(`could not run: ${err.stack}`);
  code = 2;
}
for (const close of closers.reverse()) await close();
await record.write();
console.log(record.lines.findLast(({ what }) => what === 'note').text);
process.exitCode = code;
