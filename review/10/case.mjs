// An engine spoils the bytes of one stream and goes on working after the gateway has closed the connection.
import { startEngine, model } from '../lib-2/engine.mjs';
import { pause, startGateway, until } from '../lib-2/gateway.mjs';
import { configuration, createRecord, sendPrompt } from '../lib-2/site.mjs';
import { startStore } from '../lib-2/store.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** TWICE: the engine before may still work on the request for this long. */
const allowedMs = 400;
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
  for (const id of ['e-1', 'e-2', 'e-3'])
    engines.push(
      await startEngine({ id, store, record: record.add, keepsWorking: () => id === 'e-2' }),
    );
  closers.push(() => engines.forEach((engine) => engine.close()));
  const gateway = await startGateway({ name: 'front-1', host: '127.0.0.1', store: store.address });
  closers.push(() => gateway.close());
  await until('the gateway is ready', () => gateway.isReady());
  await pause(500);

  const answers = [];
  for (let index = 0; index < 60; index += 1) {
    const id = `r${index}`;
    record.add('sent', { requestId: id });
    answers.push(
      sendPrompt(gateway, id, { outputs: 50 }).then(({ status, isComplete }) =>
        record.add('answered', { requestId: id, status, isComplete }),
      ),
    );
    await pause(150);
    // One answer of 60 is spoiled.
    if (index === 40 && hasTrouble) engines[1].garble(1);
  }
  await Promise.all(answers);
  await pause(500);

  const { lines } = record;
  const together = lines
    .filter(({ what, continuedFrom }) => what === 'run' && continuedFrom)
    .map((run) => {
      const before = lines.find(
        ({ what, requestId, engine }) =>
          what === 'run over' && requestId === run.requestId && engine === run.copiedFrom,
      );
      return { requestId: run.requestId, ms: (before?.ms ?? Infinity) - run.ms };
    });
  const twice = together.filter(({ ms }) => ms > allowedMs);
  record.note(
    `${together.length} runs went on at another engine; ${twice.length} of them while the engine before ` +
      `worked on for over ${allowedMs} ms (${together.map(({ ms }) => ms).join(', ')})`,
  );
  code = twice.length > 0 ? 1 : 0;
  if (hasTrouble && together.length === 0) code = 2;
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
