import { type AuditEntry } from '../../configuration/rows.js';
import { type Command, textOption } from '../command.js';
import { formatTable } from '../text.js';

interface AuditReply {
  readonly since: string;
  readonly entries: readonly AuditEntry[];
  readonly more: boolean;
}

export const auditCommand: Command = {
  summary: 'list accepted and refused changes, oldest first',
  usage: '[--since TIME]',
  details: ['--since TIME       such as 2026-01-31T00:00:00Z; default: the last 24 hours'],
  options: { since: { type: 'string' } },
  args: [0, 0],
  async run(ctx) {
    const since = textOption(ctx.values, 'since');
    const query = since === undefined ? '' : `?since=${encodeURIComponent(since)}`;
    const reply = await ctx.client().get<AuditReply>(`audit${query}`);
    const { entries, more } = reply;
    ctx.print(reply, () => {
      const lines = formatTable([
        ['TIME', 'OPERATOR', 'ACTION', 'RECORD', 'STATE', 'FROM', 'TO', 'SUBMISSION', 'REASON'],
        ...entries.map((entry) => [
          entry.at,
          entry.operator,
          entry.action,
          `${entry.kind}/${entry.name}`,
          entry.state,
          String(entry.fromRevision),
          entry.state === 'accepted' ? String(entry.toRevision) : '-',
          entry.submissionId,
          entry.reason,
        ]),
      ]);
      const continuation = `\nThere are more; use --since ${entries.at(-1)?.at ?? ''}`;
      return more ? lines + continuation : lines;
    });
    return 'ok';
  },
};
