import { type RunResult, type Violations } from './results.js';

const formatMs = (value: number): string => value.toFixed(value < 100 ? 1 : 0);

const formatPercent = (value: number): string => `${(value * 100).toFixed(1)}%`;

/** Above this delay of the load generator, small differences in latency are not significant. */
const maxGeneratorDelayMs = 20;

/** Lists the violations with a count above 0, or returns `none`. */
export function describeViolations(violations: Violations): string {
  const found = Object.entries(violations).filter(([, count]) => count > 0);
  return found.map(([name, count]) => `${name} ${count}`).join(', ') || 'none';
}

interface Column {
  readonly title: string;
  readonly width: number;
  readonly text: (run: RunResult) => string;
}

const columns: readonly Column[] = [
  { title: 'scenario', width: 17, text: ({ scenario }) => scenario },
  { title: 'policy', width: 11, text: ({ policy }) => policy },
  { title: 'requests', width: 8, text: ({ requests }) => String(requests) },
  { title: 'on time', width: 7, text: (run) => formatPercent(run.servedWholeOnTime) },
  { title: 'hit rate', width: 8, text: (run) => formatPercent(run.prefixHitRate) },
  { title: 'ttft p50', width: 8, text: (run) => formatMs(run.ttftMs.p50) },
  { title: 'p95', width: 6, text: (run) => formatMs(run.ttftMs.p95) },
  { title: 'p99', width: 6, text: (run) => formatMs(run.ttftMs.p99) },
  { title: 'token p50', width: 9, text: (run) => formatMs(run.interTokenMs.p50) },
  { title: 'p95', width: 6, text: (run) => formatMs(run.interTokenMs.p95) },
  { title: 'wait p50', width: 8, text: (run) => formatMs(run.shortWaitMs.p50) },
  { title: 'p99', width: 6, text: (run) => formatMs(run.shortWaitMs.p99) },
  {
    title: 'recomputed/least',
    width: 16,
    text: (run) =>
      run.leastRecomputedTokens === 0
        ? '-'
        : (run.recomputedTokens / run.leastRecomputedTokens).toFixed(2),
  },
  { title: 'violations', width: 0, text: (run) => describeViolations(run.violations) },
];

const formatRow = (cells: readonly string[]): string =>
  cells
    .map((cell, index) => cell.padEnd(columns[index]?.width ?? 0))
    .join('  ')
    .trimEnd();

/** Formats the header of the table of runs. */
export function tableHeader(): string {
  return formatRow(columns.map(({ title }) => title));
}

/** Formats the row of one run, followed by lines for its parts, overhead and notes. */
export function tableRow(run: RunResult): string {
  const lines = [formatRow(columns.map(({ text }) => text(run)))];
  for (const step of run.steps ?? []) {
    lines.push(
      `    ${step.label}: ${step.requests} requests, on time ${formatPercent(step.servedWholeOnTime)}, ` +
        `ttft p50 ${formatMs(step.ttftMs.p50)} p99 ${formatMs(step.ttftMs.p99)}, ` +
        `short wait p50 ${formatMs(step.shortWaitMs.p50)} p99 ${formatMs(step.shortWaitMs.p99)}`,
    );
  }
  for (const level of run.overhead ?? []) {
    lines.push(
      `    ${level.streams} streams (${level.samples} samples): first token direct ` +
        `p50 ${level.directFirstTokenMs.p50} p99 ${level.directFirstTokenMs.p99}, added ` +
        `p50 ${level.addedFirstTokenMs.p50} p99 ${level.addedFirstTokenMs.p99}; between tokens ` +
        `added p50 ${level.addedInterTokenMs.p50} p99 ${level.addedInterTokenMs.p99} ms`,
    );
  }
  if (run.daemonCrashes > 0) lines.push(`    daemon processes crashed: ${run.daemonCrashes}`);
  if (run.generatorDelayMs > maxGeneratorDelayMs) {
    lines.push(
      `    load generator was delayed: event loop delay p99 ${formatMs(run.generatorDelayMs)} ms`,
    );
  }
  for (const note of run.skipped ?? []) lines.push(`    skipped: ${note}`);
  return lines.join('\n');
}
