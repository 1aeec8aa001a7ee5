/* eslint-disable n/no-process-exit -- a script ends although connections may still be open */
import { createRecord } from './record.mjs';

/**
 * Runs a case: `play` gets the record and whether the disruption is to take place, and resolves to a
 * list of breaches of the rule. Exits with 10 if there are any, with 0 if not, and with 2 if it couldn't
 * run; `run.sh` makes 1 of 10, because Node.js exits with 1 after an error of its own.
 */
export async function runCase(recordPath, play) {
  const record = createRecord(recordPath);
  const isDisrupted = process.env.TROUBLE !== '0';
  let code = 2;
  const cleanups = [];
  const stop = (reason) => {
    record.add(`result   could not run: ${reason}`);
    record.save().finally(() => process.exit(2));
  };
  process.on('uncaughtException', (err) => stop(err.message));
  process.on('unhandledRejection', (err) => stop(err?.message));
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => stop(signal));
  const timer = setTimeout(() => stop('the script took longer than 115 seconds'), 115_000);
  try {
    record.add(`script   ${isDisrupted ? 'with' : 'without'} the disruption`);
    const breaches = await play(record, isDisrupted, (cleanup) => cleanups.push(cleanup));
    for (const breach of breaches) record.add(`BREACH   ${breach}`);
    code = breaches.length > 0 ? 10 : 0;
  } catch (err) {
    record.add(`result   could not run: ${err.message}`);
  }
  for (const cleanup of cleanups.reverse()) {
    await cleanup().catch((err) => record.add(`cleanup  ${err.message}`));
  }
  clearTimeout(timer);
  record.add(
    `result   ${{ 0: 'the rule held', 10: 'the rule was broken' }[code] ?? 'could not run'}`,
  );
  await record.save();
  process.exit(code);
}

/** Fails the script, which then exits with 2. */
export function need(condition, text) {
  if (!condition) throw new Error(text);
}
