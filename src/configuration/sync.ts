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
 *   never read the table; they poll one entry per second.
 * - A change: each entry reads the change rows once. All within one second: 340 + 340 = 680.
 * - All entries start at once without a ready peer: 5 reads each (head, then head, 2 pages of
 *   records and changes) after a start delay of up to 2 s, in addition to the polls of those that
 *   have finished: 340 × 5 / 2 s + 340 = 1,190 reads/s.
 *   Entries that find a ready peer need only the head row.
 * - Outage and recovery of the table: while peers reply, each entry continues with one jittered
 *   read per second; without any reply, retries have full jitter up to 5 s. Changes can't be
 *   accepted meanwhile, so that the recovery adds no reads.
 */
export interface ConfigurationUpdater extends Disposable {
  /** Starts an update to a revision that a peer has reported; an older one is ignored. */
  observeRevision(revision: number): void;
  /** Applies a change that this process accepted, and starts to notify the other entries. */
  publishRevision(revision: number): Promise<void>;
  /** Pulls from all other entries, so that the operators' status shows their revisions. */
  pullFromEntries(): Promise<void>;
}

export interface UpdaterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly replica: ConfigurationReplica;
  /** Absent in agents and in entries without a table, which read from peers only. */
  readonly reader: ConfigurationReader | undefined;
  readonly peers: ConfigurationPeers;
  /** True when the process can't work without configuration; a lack of it is then logged. */
  readonly required: boolean;
}

const pollMs = 1_000;

/** Jitter of the first reads of processes that start together. */
const startJitterMs = 2_000;

/** Jitter of the reads after a push to all entries. */
const pushJitterMs = 200;

const retryBaseMs = 500;

const retryMaxMs = 5_000;

/** Entries from which a process without configuration pulls at once. */
const maxInitialEntries = 16;

/**
 * Entries, and agents with a newer revision, from which a process pulls in one round while the
 * table does not reply. The initial pull includes as many of these agents, and as many random ones.
 */
const maxOutagePeers = 2;

/** Entries that a process without a table tries in one round until one replies. */
const maxEntryAttempts = 3;

export function createConfigurationUpdater(options: UpdaterOptions): ConfigurationUpdater {
  const { clock, random, log, replica, reader, peers, required } = options;
  const source = createCancellationSource();
  const { token } = source;
  let reportedRevision = 0;
  let isTableDown = false;
  /** Set by a push, so that one during a round interrupts the next pause. */
  let hasPendingPush = false;
  let interruptPause = (): void => undefined;

  const pickRandom = (from: readonly ConfigurationPeer[], count: number): ConfigurationPeer[] =>
    from
      .map((peer) => ({ peer, order: random.next() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, count)
      .map(({ peer }) => peer);

  /** Pulls from the peers in parallel, applies the newest reply; returns the number of replies. */
  const pullFrom = async (selected: readonly ConfigurationPeer[]): Promise<number> => {
    const knownRevision = replica.revision;
    const results = await Promise.allSettled(
      selected.map((peer) => peer.pull(knownRevision, token)),
    );
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
    return newer.slice(0, maxOutagePeers);
  };

  const pullInitial = (): Promise<number> => {
    const agents = [...newestAgents(), ...pickRandom(peers.agents(), maxOutagePeers)];
    const selected = [...pickRandom(peers.entries(), maxInitialEntries), ...agents];
    return pullFrom([...new Map(selected.map((peer) => [peer.address, peer])).values()]);
  };

  const pullUpdate = async (): Promise<boolean> => {
    if (reader) {
      const selected = [...pickRandom(peers.entries(), maxOutagePeers), ...newestAgents()];
      return (await pullFrom(selected)) > 0;
    }
    for (const peer of pickRandom(peers.entries(), maxEntryAttempts)) {
      if ((await pullFrom([peer])) > 0) return true;
    }
    return false;
  };

  const updateFromTable = async (from: ConfigurationReader): Promise<void> => {
    if (reportedRevision <= replica.revision || !replica.ready) {
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

  /** Runs one round; returns whether the table or a peer replied. */
  const refresh = async (): Promise<boolean> => {
    const wasReady = replica.ready;
    const replies = wasReady ? 0 : await pullInitial();
    if (reader) {
      try {
        await updateFromTable(reader);
        if (isTableDown) log.info({ revision: replica.revision }, 'table is available again');
        isTableDown = false;
        return true;
      } catch (err) {
        token.throwIfCancelled();
        const fields = { err: errMessage(err), revision: replica.revision };
        if (!isTableDown) log.warn(fields, 'table is not available; pulling changes from peers');
        isTableDown = true;
      }
    }
    return wasReady ? pullUpdate() : replies > 0;
  };

  const pause = async (delayMs: number): Promise<void> => {
    const pauseSource = createCancellationSource(token);
    interruptPause = () => pauseSource.cancel('newer revision reported');
    try {
      if (hasPendingPush) interruptPause();
      await sleep(clock, delayMs, pauseSource.token);
    } catch (err) {
      if (token.isCancellationRequested) throw err;
      await sleep(clock, pushJitterMs * random.next(), token);
    } finally {
      interruptPause = () => undefined;
      hasPendingPush = false;
      pauseSource.dispose();
    }
  };

  const run = async (): Promise<void> => {
    // A process without configuration pulls from its peers at once; the table read has jitter.
    await pullInitial();
    await pause(startJitterMs * random.next());
    let failures = 0;
    for (;;) {
      failures = (await refresh()) ? 0 : failures + 1;
      if (!replica.ready && required) {
        log.warn(
          { failures },
          'no configuration: neither the table nor a peer replied; check [table] endpoint and ' +
            '[peers] entries in the settings; retrying',
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
    observeRevision(revision) {
      if (revision <= replica.revision) return;
      reportedRevision = Math.max(reportedRevision, revision);
      hasPendingPush = true;
      interruptPause();
    },
    async publishRevision(revision) {
      reportedRevision = Math.max(reportedRevision, revision);
      if (reader) {
        await updateFromTable(reader).catch((err: unknown) => {
          log.warn({ err: errMessage(err), revision }, 'accepted change is applied at next poll');
        });
      }
      for (const peer of peers.entries()) {
        // A peer that misses the push reads the change at its next poll.
        peer.notify(revision, token).catch(() => undefined);
      }
    },
    async pullFromEntries() {
      await pullFrom(peers.entries());
    },
    dispose: () => source.cancel('configuration sync closed'),
  };
}
