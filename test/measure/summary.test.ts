import { expect, test } from 'vitest';
import { type RequestOutcome } from '../../measure/load/generator.js';
import { type ScheduledRequest, promptTextOf, type Workload } from '../../measure/load/workload.js';
import { renderPage } from '../../measure/output/plots.js';
import { tableHeader, tableRow } from '../../measure/output/table.js';
import { summariseRun } from '../../measure/runner.js';
import { type SiteRun } from '../../measure/site/site.js';
import { createCompletion } from '../standins/engine/completion.js';

const requestOf = (index: number): ScheduledRequest => ({
  id: `team1.1-${index}`,
  team: 'team1',
  atMs: index,
  part: 0,
  system: 'general',
  user: `question ${index}`,
  promptTokens: 300,
  hashes: [1n, 2n],
  outputTokens: 3,
  isLong: false,
  deadlineMs: 1_600,
});

/** Outcome of a request whose caller received the words in [from, to). */
function outcome(index: number, fields: Partial<RequestOutcome>, from = 0, to = 3): RequestOutcome {
  const request = requestOf(index);
  const response = {
    text: createCompletion(promptTextOf(request)).text(from, to),
    tokens: to - from,
    firstTokenMs: 100 + index,
    gapsMs: [7, 8],
    done: true,
    errorWork: undefined,
    cachedTokens: 256,
    endedCleanly: true,
  };
  return { request, status: 200, work: '', response, totalMs: 200, ...fields };
}

const engineRun = (id: string, fields: Partial<SiteRun> = {}): SiteRun => ({
  engine: 'engine-1',
  id,
  startedAt: 0,
  promptTokens: 300,
  cachedTokens: 128,
  foreignBlocks: 0,
  prefilledTokens: 172,
  outcome: 'completed',
  ...fields,
});

const refused = { response: undefined, status: 504, work: 'not-run' };

const requests = [
  outcome(0, {}),
  outcome(1, { totalMs: 1_700 }),
  outcome(2, {}, 0, 2),
  outcome(3, {}, 1, 4),
  outcome(4, refused),
  outcome(5, refused),
  outcome(6, { response: undefined, status: 0 }),
];

const runs = [
  ...[0, 1, 2, 3].map((index) => engineRun(`team1.1-${index}/1`)),
  engineRun('team1.1-3/1'),
  engineRun('team1.1-4/1', { outcome: 'cut', foreignBlocks: 1 }),
  engineRun('probe-1/1', { engine: 'engine-2', startedAt: 3_900 }),
  engineRun('probe-2/1', { engine: 'engine-2', startedAt: 4_100 }),
];

const parts = ['first', 'second'].map((label) => ({ label, durationMs: 1_000, load: 1 }));

const workload: Workload = {
  requests: requests.map(({ request }) => request),
  calls: [],
  warmUpMs: 0,
  durationMs: 2_000,
};

const call = (key: string) => ({ key, team: 'team1', atMs: 0 });

const summarise = () =>
  summariseRun(
    { scenario: 'steady', policy: 'cicadatide', seed: 1 },
    { parts, hasTable: true },
    workload,
    {
      requests,
      calls: [
        { call: call('order-1'), status: 200, work: 'completed' },
        { call: call('order-2'), status: 503, work: 'not-run' },
      ],
    },
    {
      engineRuns: runs,
      serviceRuns: new Map([
        ['order-1', 2],
        ['order-2', 1],
      ]),
      tableCalls: 0,
      daemonCrashes: 0,
      leavingSince: new Map([['engine-2', 1_000]]),
    },
    0.5,
  );

// Guards against changes of the result format, which other tools read.
test('the results keep their format and count each violation', () => {
  const run = summarise();
  expect(run).toMatchSnapshot();
  expect(`${tableHeader()}\n${tableRow(run)}\n`).toMatchSnapshot();
});

// Guards against scenarios without a plot on the page.
test('the page has one plot per scenario', () => {
  const run = summarise();
  const percentiles = { p50: 1, p99: 2 };
  const overhead = [
    {
      streams: 64,
      samples: 10,
      directFirstTokenMs: percentiles,
      addedFirstTokenMs: percentiles,
      addedInterTokenMs: percentiles,
    },
  ];
  const page = renderPage({ seed: 1, runs: [run, { ...run, scenario: 'overhead', overhead }] });
  expect(page.match(/<svg/g)).toHaveLength(2);
});
