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

const writeLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Replaces the progress line on a terminal; prints nothing if stdout is not a terminal. */
const showProgress = (text: string): void => {
  if (process.stdout.isTTY) process.stdout.write(`\r\u001b[K${text}`);
};

/** Parses `all` or a comma-separated list of names; throws on an unknown name. */
function parseNames(value: string, known: readonly string[], option: string): readonly string[] {
  if (value === 'all') return known;
  const names = value.split(',');
  const unknown = names.find((name) => !known.includes(name));
  if (unknown !== undefined)
    throw new Error(`--${option}: "${unknown}" is unknown; use one of the names below\n\n${usage}`);
  return names;
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
    throw new Error(`--seed: use a non-negative integer\n${usage}`);
  return {
    ...values,
    seed,
    scenarios: parseNames(values.scenario, scenarioNames, 'scenario'),
    policies: parseNames(values.policy, policyNames, 'policy'),
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
    writeLine(tableHeader());
    const total = options.scenarios.length * options.policies.length;
    for (const scenario of options.scenarios) {
      for (const policy of options.policies) {
        showProgress(`${runs.length + 1} of ${total}: ${scenario}, ${policy}`);
        const runScenario = scenario === 'overhead' ? runOverhead : runLoadScenario;
        const run = await runScenario(pool, { scenario, policy, seed: options.seed });
        runs.push(run);
        showProgress('');
        writeLine(tableRow(run));
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
