/* eslint-disable n/no-process-exit -- a script ends although connections may still be open */
import { createRecord } from './record.mjs';

/**
 * Runs a case: `play` gets the record and whether the disruption is to take place, and resolves to a
 * list of breaches of the rule. Exits with 1 if there are any, with 0 if not, with 2 if it couldn't run.
 */
export async function runCase(recordPath, play) {
  const record = createRecord(recordPath);
  const isDisrupted = process.env.TROUBLE !== '0';
  let code = 2;
  const cleanups = [];
  const timer = setTimeout(() => {
    record.add('result   the script took longer than 115 seconds');
    record.save().finally(() => process.exit(2));
  }, 115_000);
  try {
    record.add(`script   ${isDisrupted ? 'with' : 'without'} the disruption`);
    const breaches = await play(record, isDisrupted, (cleanup) => cleanups.push(cleanup));
    for (const breach of breaches) record.add(`BREACH   ${breach}`);
    code = breaches.length > 0 ? 1 : 0;
  } catch (err) {
    record.add(`result   could not run: ${err.stack}`);
  }
  for (const cleanup of cleanups.reverse()) {
    await cleanup().catch((err) => record.add(`cleanup  ${err.stack}`));
  }
  clearTimeout(timer);
  record.add(`result   exit code ${code}`);
  await record.save();
  process.exit(code);
}

/** Fails the script, which then exits with 2. */
export function need(condition, text) {
  if (!condition) throw new Error(text);
}
