import { createRequire } from 'node:module';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { type Report, type RunResult } from './results.js';
import { tableHeader, tableRow } from './table.js';

/** The functions of echarts used here; its type declarations can't be resolved from ES modules. */
interface ChartLibrary {
  init(element: null, theme: null, options: object): Chart;
}

interface Chart {
  setOption(option: object): void;
  renderToSVGString(): string;
  dispose(): void;
}

const echarts = createRequire(import.meta.url)('echarts') as ChartLibrary;

const width = 900;

const height = 320;

interface Series {
  readonly name: string;
  /** Index of the y axis: 0 for percent, 1 for milliseconds. */
  readonly axis: 0 | 1;
  readonly value: (run: RunResult) => number;
}

const series: readonly Series[] = [
  { name: 'whole and on time (%)', axis: 0, value: (run) => run.servedWholeOnTime * 100 },
  { name: 'prefix hit rate (%)', axis: 0, value: (run) => run.prefixHitRate * 100 },
  { name: 'first token p50 (ms)', axis: 1, value: (run) => run.ttftMs.p50 },
  { name: 'first token p99 (ms)', axis: 1, value: (run) => run.ttftMs.p99 },
  { name: 'short wait p99 (ms)', axis: 1, value: (run) => run.shortWaitMs.p99 },
];

function drawBars(title: string, runs: readonly RunResult[]): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width, height });
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { bottom: 0 },
    grid: { left: 60, right: 60, top: 50, bottom: 60 },
    xAxis: { type: 'category', data: runs.map(({ policy }) => policy) },
    yAxis: [
      { type: 'value', name: '%', min: 0, max: 100 },
      { type: 'value', name: 'ms', min: 0 },
    ],
    series: series.map(({ name, axis, value }) => ({
      type: 'bar',
      name,
      yAxisIndex: axis,
      data: runs.map(value),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

/** Draws the added time to first token by number of streams. */
function drawOverhead(title: string, runs: readonly RunResult[]): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width, height });
  const labels = runs[0]?.overhead?.map(({ streams }) => `${streams} streams`) ?? [];
  chart.setOption({
    animation: false,
    title: { text: title },
    legend: { bottom: 0 },
    grid: { left: 60, right: 60, top: 50, bottom: 60 },
    xAxis: { type: 'category', data: labels },
    yAxis: { type: 'log', name: 'ms', min: 0.1 },
    series: runs.flatMap(({ policy, overhead = [] }) =>
      (['p50', 'p99'] as const).map((percentile) => ({
        type: 'bar',
        name: `${policy} ${percentile}`,
        data: overhead.map(({ addedFirstTokenMs }) => Math.max(0.1, addedFirstTokenMs[percentile])),
      })),
    ),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

const escapeHtml = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

/** Builds a page with one plot per scenario and the table of all runs. */
export function renderPage({ seed, runs }: Report): string {
  const sections = [...new Set(runs.map(({ scenario }) => scenario))].map((scenario) => {
    const scenarioRuns = runs.filter((run) => run.scenario === scenario);
    const plot =
      scenario === 'overhead'
        ? drawOverhead('overhead: added time to first token', scenarioRuns)
        : drawBars(scenario, scenarioRuns);
    const rows = [tableHeader(), ...scenarioRuns.map(tableRow)].join('\n');
    return `<section>\n${plot}\n<pre>${escapeHtml(rows)}</pre>\n</section>`;
  });
  const title = `cicadatide measurements, seed ${seed}`;
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>${title}</title></head>
<body>
<h1>${title}</h1>
${sections.join('\n')}
</body>
</html>
`;
}

/** Writes the page to `index.html` in the folder. */
export function writePage(folder: string, report: Report): void {
  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, 'index.html'), renderPage(report));
}
