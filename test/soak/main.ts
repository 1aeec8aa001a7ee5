import { execFileSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { runSoak } from './soak.js';

/**
 * Runs seeds manually: `npm run soak -- --from 1 --count 50 --seconds 8 --jobs 4 --logs FILE`. `--port` is the first
 * of the ports.
 */
const { values } = parseArgs({
  options: {
    from: { type: 'string', default: String(Date.now() % 1_000_000) },
    count: { type: 'string', default: '10' },
    seconds: { type: 'string', default: '8' },
    gateways: { type: 'string', default: '3' },
    jobs: { type: 'string', default: '2' },
    logs: { type: 'string' },
    port: { type: 'string' },
  },
});

execFileSync('npm', ['run', '--silent', 'bundle']);

const first = Number(values.from);
const seeds = Array.from({ length: Number(values.count) }, (_, index) => first + index);
const portsPerJob = 30;

/** Derived from the process id, so that concurrent soaks use different ports. */
const firstPort = Number(values.port ?? 26_000 + (process.pid % 80) * 60);
let failed = 0;

async function runJob(job: number): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const result = await runSoak({
      seed,
      durationMs: Number(values.seconds) * 1_000,
      gateways: Number(values.gateways),
      bundle: 'target/gateway.mjs',
      port: firstPort + job * portsPerJob,
    });
    const { requests, served, faults, violations, logs } = result;
    console.log(
      `seed ${seed}: ${served} of ${requests} served, ${faults.length} faults, ` +
        `${violations.length} violations`,
    );
    if (violations.length === 0) continue;
    failed += 1;
    console.log(JSON.stringify(violations.slice(0, 5), undefined, 1));
    if (values.logs) {
      const lines = [...faults, ...violations.map((found) => JSON.stringify(found)), ...logs];
      writeFileSync(`${values.logs}.${seed}`, lines.join('\n'));
    }
  }
}

await Promise.all(Array.from({ length: Number(values.jobs) }, (_, job) => runJob(job)));
console.log(`${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
