import { type MessageInitShape } from '@bufbuild/protobuf';
import { createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep, withTimeout } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type TeamUsage, type UsageReportSchema } from '../gen/cicadatide/v1/peer_pb.js';
import { type PeerClient, type PeerConnection } from '../ports/agents.js';
import { type Demand, type DemandByTeam, type LimitAllocator } from './allocator.js';
import { type TeamLimiter } from './teamlimits.js';

type ReportInit = MessageInitShape<typeof UsageReportSchema>;

/** Fields that an entry reads from a peer's usage report. */
export interface ReceivedUsage {
  readonly instance: string;
  readonly teams: readonly Pick<
    TeamUsage,
    'team' | 'requestsPerSecond' | 'tokensPerSecond' | 'streams'
  >[];
}

/** Exchanges team usage with all other entries every second. */
export interface UsageExchange extends Disposable {
  /** Method of the peer service, to be spread into its implementation. */
  readonly service: { reportUsage(report: ReceivedUsage): ReportInit };
  /** Runs one exchange; also called every `exchangeIntervalMs`. */
  exchange(): Promise<void>;
}

export interface UsageExchangeOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: { readonly instance: string; readonly incarnation: string };
  /** Connections to the known entries; one to this entry itself is detected and skipped. */
  readonly peers: () => readonly PeerConnection<PeerClient>[];
  readonly allocator: LimitAllocator;
  readonly limiter: TeamLimiter;
  readonly configurationRevision: () => number;
}

/** Time between exchanges; part of the error bound of the limits. */
export const exchangeIntervalMs = 1_000;

/** Timeout for one peer, so that an unresponsive one does not delay the next exchange. */
const exchangeTimeoutMs = 500;

/** Maximum number of teams read from one report; far above the number of teams of a site. */
const maxTeams = 4_096;

function readDemand({ teams }: ReceivedUsage): DemandByTeam {
  const demand = new Map<string, Demand>();
  for (const usage of teams.slice(0, maxTeams)) {
    const { requestsPerSecond, tokensPerSecond, streams } = usage;
    const values = { requests: requestsPerSecond, tokens: tokensPerSecond, streams };
    const isValid = Object.values(values).every((value) => Number.isFinite(value) && value >= 0);
    if (isValid) demand.set(usage.team, values);
  }
  return demand;
}

export function createUsageExchange(options: UsageExchangeOptions): UsageExchange {
  const { clock, log, self, peers, allocator, limiter, configurationRevision } = options;
  const source = createCancellationSource();
  const selfAddresses = new Set<string>();

  const currentReport = (): ReportInit => ({
    ...self,
    configurationRevision: BigInt(configurationRevision()),
    teams: [...allocator.proposed].map(([team, { requests, tokens, streams }]) => ({
      team,
      requestsPerSecond: requests,
      tokensPerSecond: tokens,
      streams,
    })),
  });

  const recordReport = (report: ReceivedUsage): void => {
    if (!report.instance || report.instance === self.instance) return;
    allocator.recordPeerDemand(report.instance, readDemand(report));
  };

  const exchangeWith = async (peer: PeerConnection<PeerClient>): Promise<void> => {
    try {
      const call = peer.client.reportUsage(currentReport(), {
        timeoutMs: exchangeTimeoutMs,
        signal: source.token.signal,
      });
      const reply = await withTimeout(clock, exchangeTimeoutMs, call);
      if (!reply) return;
      if (reply.instance === self.instance) selfAddresses.add(peer.address);
      recordReport(reply);
      allocator.markDelivered(reply.instance);
    } catch (err) {
      log.debug(
        { address: peer.address, err: errMessage(err) },
        'usage exchange with a peer failed; retrying at the next interval',
      );
    }
  };

  const exchange = async (): Promise<void> => {
    allocator.propose(limiter.takeDemand());
    const others = peers().filter(({ address }) => !selfAddresses.has(address));
    await Promise.all(others.map(exchangeWith));
    const selfCount = others.filter(({ address }) => selfAddresses.has(address)).length;
    allocator.setListedPeers(others.length - selfCount);
  };

  const run = async (): Promise<void> => {
    while (!source.token.isCancellationRequested) {
      await exchange();
      await sleep(clock, exchangeIntervalMs, source.token);
    }
  };
  allocator.setListedPeers(peers().length);
  run().catch((err: unknown) => {
    if (!source.token.isCancellationRequested) {
      log.error({ err: errMessage(err) }, 'usage exchange stopped unexpectedly; restart the entry');
    }
  });

  return {
    service: {
      reportUsage(report) {
        recordReport(report);
        const reply = currentReport();
        allocator.markDelivered(report.instance);
        return reply;
      },
    },
    exchange,
    dispose: () => source.cancel('entry stopped'),
  };
}
