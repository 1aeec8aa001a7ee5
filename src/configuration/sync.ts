import { type CancellationToken, createCancellationSource } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { fullJitter, type Random } from '../base/random.js';
import { type ConfigurationPeer, type ConfigurationPeers } from './peers.js';
import { type ConfigurationReader } from './reader.js';
import { type ConfigurationReplica } from './replica.js';

/**
 * Keeps the replica of one process up to date.
 *
 * Table reads at 340 entries and 600 agents (940 processes), with a limit of 2,000 reads/s:
 *
 * - Steady state: each entry reads the head row once per 0.75 to 1.25 s, 340 reads/s. Agents
 *   never read the table; they ask one entry per second.
 * - A change: each entry reads the change rows once. All within one second: 340 + 340 = 680.
 * - All entries start at once without a ready peer: 5 reads each (head, then head, 2 pages of
 *   records and changes) after a start delay of up to 2 s, beside the polls of those that are
 *   done: 340 × 5 / 2 s + 340 = 1,190 reads/s.
 *   Entries that find a ready peer need only the head row.
 * - Outage and return of the table: while peers answer, each entry goes on with one jittered read
 *   per second; without any answer, retries have full jitter up to 5 s. Changes can't be accepted
 *   meanwhile, so that the return adds no reads.
 */
export interface ConfigurationUpdater extends Disposable {
  /** A peer says that this revision exists; an older one is ignored. */
  notice(revision: number): void;
  /** Applies a change that this process accepted, and starts to tell the other entries. */
  announce(revision: number): Promise<void>;
  /** Asks all other entries for their revision, for the status of the operators. */
  askEntries(): Promise<void>;
}

export interface UpdaterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  /** Absent for agents, which read from peers only. */
  readonly reader: ConfigurationReader | undefined;
  readonly peers: ConfigurationPeers;
  /** True when the process is of no use without configuration, which is then logged. */
  readonly required: boolean;
}

const pollMs = 1_000;

/** Spreads the first reads of processes that start together. */
const startSpreadMs = 2_000;

/** Spreads the reads after a push to all entries. */
const noticeSpreadMs = 200;

const retryBaseMs = 500;

const retryMaxMs = 5_000;

/** Peers that a process without configuration asks at once. */
const coldPeers = 16;

/** Peers that a process asks in one round while the table does not answer. */
const outagePeers = 2;

/** Rounds in which a process without a table looks for an answering entry. */
const peerRounds = 3;

export function createConfigurationUpdater(options: UpdaterOptions): ConfigurationUpdater {
  const { clock, random, log, replica, reader, peers, required } = options;
  const source = createCancellationSource();
  const { token } = source;
  let noticed = 0;
  let tableDown = false;
  /** Set by a push that arrives while a round is running. */
  let pushed = false;
  let wake = (): void => undefined;

  const pick = (from: readonly ConfigurationPeer[], count: number): ConfigurationPeer[] =>
    from
      .map((peer) => ({ peer, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, count)
      .map(({ peer }) => peer);

  /** Asks the peers at once, waits for all of them, and takes the newest; counts the answers. */
  const pullFrom = async (asked: readonly ConfigurationPeer[]): Promise<number> => {
    const known = replica.revision;
    const results = await Promise.allSettled(asked.map((peer) => peer.pull(known, token)));
    const replies = results.flatMap((item) => (item.status === 'fulfilled' ? [item.value] : []));
    replies.sort((a, b) => b.revision - a.revision);
    for (const { revision, changes } of replies) {
      if (changes) replica.applyChanges(changes.base, changes.revision, changes.records);
      else if (!replica.ready && revision === 0) replica.applyChanges(0, 0, []);
    }
    return replies.length;
  };

  const newestAgents = (): readonly ConfigurationPeer[] => {
    const newer = peers.agents().filter(({ revision }) => revision > replica.revision);
    newer.sort((a, b) => b.revision - a.revision);
    return newer.slice(0, outagePeers);
  };

  const pullCold = (): Promise<number> => {
    const agents = [...newestAgents(), ...pick(peers.agents(), outagePeers)];
    const asked = [...pick(peers.entries(), coldPeers), ...agents];
    return pullFrom([...new Map(asked.map((peer) => [peer.address, peer])).values()]);
  };

  const pullSome = async (): Promise<boolean> => {
    if (reader) {
      const asked = [...pick(peers.entries(), outagePeers), ...newestAgents()];
      return (await pullFrom(asked)) > 0;
    }
    for (const peer of pick(peers.entries(), peerRounds)) {
      if ((await pullFrom([peer])) > 0) return true;
    }
    return false;
  };

  const readTable = async (from: ConfigurationReader): Promise<void> => {
    if (noticed <= replica.revision || !replica.ready) {
      const head = await from.readHead(token);
      if (head < replica.revision) {
        log.warn({ head, revision: replica.revision }, 'table is older than this replica; ignored');
        return;
      }
      if (replica.ready && head === replica.revision) return;
    }
    const { base, revision, records } = await from.readChanges(
      replica.ready ? replica.revision : undefined,
      token,
    );
    if (replica.applyChanges(base, revision, records)) {
      log.info({ revision: replica.revision }, 'configuration applied');
    }
  };

  /** One round; returns whether the table or a peer answered. */
  const refresh = async (): Promise<boolean> => {
    const wasReady = replica.ready;
    const answers = wasReady ? 0 : await pullCold();
    if (reader) {
      try {
        await readTable(reader);
        if (tableDown) log.info({ revision: replica.revision }, 'table is available again');
        tableDown = false;
        return true;
      } catch (err) {
        token.throwIfCancelled();
        const fields = { err: errMessage(err), revision: replica.revision };
        if (!tableDown) log.warn(fields, 'table is not available; asking peers for changes');
        tableDown = true;
      }
    }
    return wasReady ? pullSome() : answers > 0;
  };

  const pause = async (delayMs: number): Promise<void> => {
    const wait = createCancellationSource(token);
    wake = () => wait.cancel('newer revision noticed');
    try {
      if (pushed) wake();
      await sleep(clock, delayMs, wait.token);
    } catch (err) {
      if (token.isCancellationRequested) throw err;
      await sleep(clock, noticeSpreadMs * random.next(), token);
    } finally {
      wake = () => undefined;
      pushed = false;
      wait.dispose();
    }
  };

  const run = async (): Promise<void> => {
    // A process without configuration asks its peers at once, and the table after the spread.
    await pullCold();
    await pause(startSpreadMs * random.next());
    let failures = 0;
    for (;;) {
      failures = (await refresh()) ? 0 : failures + 1;
      if (!replica.ready && required) {
        log.warn(
          { failures },
          'no configuration: neither the table nor a peer answered; check [table] endpoint and ' +
            '[peers] entries in the settings; trying again',
        );
      }
      const delayMs =
        failures > 0
          ? fullJitter(random, retryBaseMs, retryMaxMs, failures)
          : pollMs * (0.75 + 0.5 * random.next());
      await pause(delayMs);
    }
  };

  run().catch((err: unknown) => {
    if (!token.isCancellationRequested)
      log.error({ err: errMessage(err) }, 'configuration updates ended');
  });

  return {
    notice(revision) {
      if (revision <= replica.revision) return;
      noticed = Math.max(noticed, revision);
      pushed = true;
      wake();
    },
    async announce(revision) {
      noticed = Math.max(noticed, revision);
      if (reader) {
        await readTable(reader).catch((err: unknown) => {
          log.warn({ err: errMessage(err), revision }, 'accepted change is applied at next poll');
        });
      }
      for (const peer of peers.entries()) {
        // A peer that misses the push finds the change at its next poll.
        peer.notify(revision, token).catch(() => undefined);
      }
    },
    async askEntries() {
      await pullFrom(peers.entries());
    },
    dispose: () => source.cancel('configuration sync closed'),
  };
}
