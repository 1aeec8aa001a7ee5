import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { parseArgs } from 'node:util';
import { policyNames } from '../src/routing/policies.js';
import { writePage } from './output/plots.js';
import { type RunResult } from './output/results.js';
import { tableHeader, tableRow } from './output/table.js';
import { runOverhead } from './overhead.js';
import { runLoadScenario } from './runner.js';
import { scenarioNames } from './scenarios.js';
import { startHostPool } from './site/pool.js';

const usage = `usage: npm run measure -- [--scenario NAME|all] [--policy NAME|all] [--seed N]
                          [--json FILE] [--report DIR]

scenarios: ${scenarioNames.join(', ')}
policies:  ${policyNames.join(', ')}
`;

const write = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Replaces the progress line on a terminal; elsewhere nothing is shown. */
const showProgress = (text: string): void => {
  if (process.stdout.isTTY) process.stdout.write(`\r\u001b[K${text}`);
};

/** Returns the chosen names; several may be given with commas. */
function choose(given: string, known: readonly string[], option: string): readonly string[] {
  if (given === 'all') return known;
  const chosen = given.split(',');
  const unknown = chosen.find((name) => !known.includes(name));
  if (unknown !== undefined) throw new Error(`--${option}: "${unknown}" is not known\n\n${usage}`);
  return chosen;
}

function readOptions() {
  const { values } = parseArgs({
    options: {
      scenario: { type: 'string', default: 'all' },
      policy: { type: 'string', default: 'all' },
      seed: { type: 'string', default: '1' },
      json: { type: 'string' },
      report: { type: 'string' },
      help: { type: 'boolean', default: false },
    },
  });
  const seed = Number(values.seed);
  if (!Number.isInteger(seed) || seed < 0)
    throw new Error(`--seed: write a whole number\n${usage}`);
  return {
    ...values,
    seed,
    scenarios: choose(values.scenario, scenarioNames, 'scenario'),
    policies: choose(values.policy, policyNames, 'policy'),
  };
}

async function main(): Promise<void> {
  const options = readOptions();
  if (options.help) {
    process.stdout.write(usage);
    return;
  }
  const pool = await startHostPool();
  const runs: RunResult[] = [];
  try {
    write(tableHeader());
    const total = options.scenarios.length * options.policies.length;
    for (const scenario of options.scenarios) {
      for (const policy of options.policies) {
        showProgress(`${runs.length + 1} of ${total}: ${scenario}, ${policy}`);
        const runScenario = scenario === 'overhead' ? runOverhead : runLoadScenario;
        const run = await runScenario(pool, { scenario, policy, seed: options.seed });
        runs.push(run);
        showProgress('');
        write(tableRow(run));
      }
    }
  } finally {
    await pool.close();
  }
  const report = { seed: options.seed, runs };
  if (options.report) writePage(options.report, report);
  if (options.json) {
    mkdirSync(dirname(options.json), { recursive: true });
    writeFileSync(options.json, `${JSON.stringify(report, undefined, 2)}\n`);
  }
}

try {
  await main();
  process.exit(0);
} catch (err) {
  process.stderr.write(`measure: ${err instanceof Error ? err.message : String(err)}\n`);
  process.exit(1);
}
