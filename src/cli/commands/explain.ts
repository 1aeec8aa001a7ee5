import { type Explanation } from '../../daemon/operators/explain.js';
import {
  type Command,
  type CommandContext,
  commandError,
  countOption,
  textOption,
} from '../command.js';
import { formatTable } from '../text.js';

/** Terms of the cost by column of the table, in the order of the columns. */
const termColumns = [
  ['BASE', ['baseMs']],
  ['QUEUE', ['queueMs', 'contentionMs']],
  ['AHEAD', ['aheadMs']],
  ['PREFILL', ['prefillMs']],
  ['FETCH', ['transferMs', 'fetchPenaltyMs']],
  ['BEHIND', ['behindMs']],
  ['DELAYS', ['ownDelayMs', 'othersDelayMs']],
  ['PENALTIES', ['dataCentrePenaltyMs', 'weightsPenaltyMs', 'failurePenaltyMs']],
] as const;

type ExplainedTarget = Explanation['targets'][number];

/** JSON has no infinite numbers; they arrive as null. */
const formatMs = (value: number | null | undefined): string =>
  value === null || value === undefined ? '-' : String(Math.round(value));

function formatTarget(target: ExplainedTarget): readonly string[] {
  const { terms, inputs, speed } = target;
  const columns: readonly (readonly [string, readonly (keyof typeof terms)[]])[] = termColumns;
  const known: Readonly<Record<string, number>> = { ...terms };
  const shown = new Set(columns.flatMap(([, names]) => names as readonly string[]));
  const otherMs = Object.entries(known)
    .filter(([name]) => !shown.has(name))
    .reduce((total, [, value]) => total + value, 0);
  return [
    target.target,
    target.reason === undefined ? target.state : `${target.state}: ${target.reason}`,
    formatMs(target.costMs),
    ...columns.map(([, names]) => formatMs(names.reduce((total, name) => total + terms[name], 0))),
    formatMs(otherMs),
    inputs.speedFactor.toFixed(2),
    `${inputs.inFlightRequests}/${Math.round(inputs.concurrencyLimit)}/${inputs.slots}`,
    `${formatMs(target.loadAgeMs)}/${formatMs(speed?.sampleAgeMs)}`,
  ];
}

function formatExplanation({ admission, ...explanation }: Explanation): string {
  const { route, service, services, team, configuration, targets } = explanation;
  const wait = admission.retryAfterMs;
  const retryAfter = wait === undefined ? '' : `, Retry-After about ${(wait / 1_000).toFixed(1)} s`;
  const deferred =
    admission.deferred === undefined ? '' : ` (${admission.deferred} deferred requests)`;
  const titles = [
    ...['TARGET', 'STATE', 'COST MS', ...termColumns.map(([title]) => title), 'OTHER'],
    ...['FACTOR', 'IN FLIGHT/LIMIT/SLOTS', 'AGE LOAD/SPEED MS'],
  ];
  return [
    `route ${route}, service ${service} (of ${services.length}), team ${team ?? '-'}`,
    `admission: ${admission.decision}${deferred}${retryAfter}`,
    `configuration ${configuration.version}, confirmed ${formatMs(configuration.ageMs)} ms ago`,
    '',
    formatTable([titles, ...targets.map(formatTarget)]),
  ].join('\n');
}

function readQuery({ values }: CommandContext): URLSearchParams {
  const query = new URLSearchParams();
  for (const name of ['host', 'path']) {
    const value = textOption(values, name);
    if (value === undefined)
      throw commandError('usage', `--${name} is missing; specify that of the request to explain`);
    query.set(name, value);
  }
  for (const name of ['team', 'service', 'model', 'parts']) {
    const value = textOption(values, name);
    if (value !== undefined) query.set(name, value);
  }
  const counts = { promptTokens: 'prompt-tokens', outputTokens: 'output-tokens' };
  for (const [name, option] of Object.entries(counts)) {
    const value = countOption(values, option);
    if (value !== undefined) query.set(name, String(value));
  }
  return query;
}

export const explainCommand: Command = {
  summary: 'show where a gateway would send a request now, and why',
  usage: '--host HOST --path PATH [OPTIONS]',
  details: [
    "--url is that of the operators' listener of a gateway; no token is needed",
    '--team NAME         team of the caller; keys are neither needed nor accepted',
    '--service NAME      service of the route; default: the one with the largest weight',
    '--model MODEL       model of the request',
    '--prompt-tokens N   tokens of the prompt',
    '--output-tokens N   expected tokens of the output',
    '--parts ID:N,ID:N   leading prompt parts with their tokens',
  ],
  options: {
    host: { type: 'string' },
    path: { type: 'string' },
    team: { type: 'string' },
    service: { type: 'string' },
    model: { type: 'string' },
    'prompt-tokens': { type: 'string' },
    'output-tokens': { type: 'string' },
    parts: { type: 'string' },
  },
  args: [0, 0],
  needsToken: false,
  async run(ctx) {
    const query = readQuery(ctx);
    const explanation = await ctx.client().get<Explanation>(`explain?${query.toString()}`);
    ctx.print(explanation, () => formatExplanation(explanation));
    return 'ok';
  },
};
