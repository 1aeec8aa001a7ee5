import { type ConfigurationCoverage } from '../../configuration/peers.js';
import { type Command } from '../command.js';
import { formatTable } from '../text.js';

interface StatusReply {
  readonly ready: boolean;
  readonly configuration: ConfigurationCoverage;
  readonly targets: readonly {
    readonly target: string;
    readonly kind: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly state: string;
    readonly models: readonly string[];
    readonly weightsVersion: string;
    readonly running: number;
    readonly places: number;
    readonly queueMs: number;
  }[];
  /** Absent when the entry has no table or could not read it. */
  readonly rollouts?: readonly {
    readonly name: string;
    readonly version: string;
    readonly phase: string;
    readonly message: string;
    readonly loading: readonly string[];
  }[];
}

function formatRollouts(rollouts: StatusReply['rollouts']): readonly string[] {
  if (!rollouts) return ['', 'rollouts: no report, the table did not reply'];
  if (rollouts.length === 0) return [];
  const rows = rollouts.map(({ name, version, phase, loading, message }) => [
    ...[name, version, phase, loading.join(',') || '-', message],
  ]);
  const titles = ['ROLLOUT', 'VERSION', 'PHASE', 'LOADING', 'MESSAGE'];
  return ['', formatTable([titles, ...rows])];
}

export const statusCommand: Command = {
  summary: 'show on which nodes the configuration is in force, and the targets',
  usage: '',
  args: [0, 0],
  async run(ctx) {
    const reply = await ctx.client().get<StatusReply>('status');
    const { revision, inForce, known, lagging } = reply.configuration;
    ctx.print(reply, () => {
      const lines = [
        `configuration revision ${revision}: in force on ${inForce} of ${known} nodes`,
      ];
      for (const node of lagging) {
        const held = node.revision === undefined ? 'no report' : `revision ${node.revision}`;
        lines.push(`  ${node.role} ${node.instance || node.address}: ${held}`);
      }
      const rows = reply.targets.map((target) => [
        target.target || target.address,
        target.kind,
        target.dataCentre,
        target.state,
        target.models.join(','),
        target.weightsVersion,
        `${target.running}/${target.places}`,
        String(target.queueMs),
      ]);
      const titles = ['TARGET', 'KIND', 'DC', 'STATE', 'MODELS', 'WEIGHTS', 'RUNNING', 'QUEUE MS'];
      const targets = formatTable([titles, ...rows]);
      return [...lines, '', targets, ...formatRollouts(reply.rollouts)].join('\n');
    });
    return 'ok';
  },
};
