/**
 * Measures the processor time, memory, traffic and table calls that the control plane costs each
 * process, for docs/CAPACITY.md: `npm run capacity`.
 */
import { cpus, loadavg } from 'node:os';
import { runAgentPart, runEntryPart, runEventsPart } from './capacity/nodes.js';
import { runExchangePart, runOffersPart } from './capacity/calls.js';
import { stopAll } from './capacity/daemons.js';
import { windowMs } from './capacity/figures.js';
import { createTrafficCounter } from './capacity/traffic.js';

/** The tool exits with an error after this time. */
const timeLimitMs = 175_000;

const startedAt = performance.now();
const finish = async (code: number): Promise<never> => {
  await stopAll();
  process.exit(code);
};
setTimeout(() => {
  console.error('capacity: time limit exceeded; stopping all processes');
  finish(1).catch(() => process.exit(1));
}, timeLimitMs).unref();
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    finish(1).catch(() => process.exit(1));
  });
}

const processors = cpus();
const load = loadavg().map((value) => value.toFixed(1));
console.log(`${processors.length} × ${processors[0]?.model ?? 'unknown'}, Node ${process.version}`);
console.log(`load average before: ${load.join(', ')}; windows of ${windowMs / 1_000} s`);

const traffic = createTrafficCounter();
try {
  for (const part of [runEntryPart, runAgentPart, runEventsPart, runOffersPart, runExchangePart]) {
    await part(traffic);
  }
  console.log(`\nfinished after ${((performance.now() - startedAt) / 1_000).toFixed(0)} s`);
  await finish(0);
} catch (err) {
  console.error(err);
  await finish(1);
}
