import { type Clock } from '../base/clock.js';
import { createDisposableStore, type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type RowChange, type TableWatch, watchTable } from '../configuration/watch.js';
import { readChanges, packChanges } from '../configuration/sharedrows.js';
import { createTableSharing, type TableSharing } from '../configuration/sharing.js';
import { type HintSection, type Peers } from '../gateway/peers.js';
import { type GatewayPlatform } from './gatewayplatform.js';

/** Watches of the store tables that a gateway reads. */
export interface GatewayFeeds extends Disposable {
  readonly configuration: TableWatch;
  readonly targets: TableWatch;
  /** Time since a call for the configuration or the targets last failed, in milliseconds. */
  sinceFailureMs(): number;
  /** Applies table versions from a peer, in the order of `Peers.publishTableVersions`. */
  expectVersions(versions: readonly number[]): void;
}

export interface GatewayFeedsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly platform: Pick<GatewayPlatform, 'store' | 'decoder'>;
  readonly peers: Pick<Peers, 'count' | 'publishTableVersions'>;
  /** Shares what gateways read; each gateway reads for itself when absent. */
  readonly sharing?: GatewaySharing | undefined;
  onConfiguration(change: RowChange): void;
  onTargets(change: RowChange): void;
  onSystemRows(change: RowChange): void;
  /** Called when a feed has left out a change of a table. */
  onMissedChange(table: string): void;
}

/**
 * Wait of one call for changes of the targets, and shortest wait for changes of the configuration,
 * which applies for example without peers. An unresponsive connection is detected one second after
 * this wait, before a later change has to be in force. Registrations of targets expire while the store
 * does not respond, so the outage must be detected before the store is back.
 */
const minWaitMs = 3_000;

/**
 * Mean wait of a call for changes of the configuration, per gateway. Between the shortest and the
 * longest wait, all gateways together then send two calls a second whatever their number. The first
 * one that receives a change publishes its version, so that its peers detect unresponsive
 * connections.
 */
const waitMsPerGateway = 500;

/** Longest mean wait; with jitter it stays below the 30 s for which the store keeps a call open. */
const maxWaitMs = 15_000;

/** Largest deviation of a wait, as a fraction of the mean; spreads the calls of the gateways. */
const waitJitter = 0.5;

/**
 * Wait for changes of the system's own rows; a missed one only delays an order lease takeover or
 * the address of a new gateway.
 */
const systemTableWaitMs = 25_000;

/**
 * Pause after a change of the targets. Targets change together, so the pause lets one call read
 * several changes. Each read costs one call per gateway, so the pause grows with the number of
 * gateways. A leaving target serves for two more seconds, which limits the pause.
 */
const minTargetPauseMs = 400;

const targetPauseMsPerGateway = 35;

const maxTargetPauseMs = 1_000;

/**
 * Mean time between two reads that verify a table, per gateway. All gateways together then verify
 * the configuration once a second whatever their number; the first one that finds a change publishes
 * its version. A configuration must be in force after two seconds, a leaving target serves longer.
 */
const verifyMsPerGateway = { configuration: 1_000, targets: 2_000 };

/** Largest deviation of the time between two of these reads, as a fraction of the mean. */
const verifyJitter = 0.5;

/** Time until a gateway verifies a table next, in milliseconds. */
export function verificationMs(
  table: keyof typeof verifyMsPerGateway,
  gateways: number,
  random: Random,
): number {
  const jitter = 1 + verifyJitter * (2 * random.next() - 1);
  return Math.round(gateways * verifyMsPerGateway[table] * jitter);
}

/** Wait of a call for changes of the configuration, in milliseconds. */
export function configurationWaitMs(gateways: number, random: Random): number {
  const meanMs = Math.min(maxWaitMs, gateways * waitMsPerGateway);
  return Math.round(Math.max(minWaitMs, meanMs * (1 + waitJitter * (2 * random.next() - 1))));
}

/** Pause after a change of the targets, in milliseconds. */
export function targetPauseMs(gateways: number): number {
  return Math.min(maxTargetPauseMs, Math.max(minTargetPauseMs, gateways * targetPauseMsPerGateway));
}

/**
 * Wait of a call of a gateway that reads an urgent table for the others. Each reply confirms their
 * state, so this is shorter than `sharedFreshMs`.
 */
const readerWaitMs = 700;

/** Pause of that gateway after a change of the targets, which all changes of this time share. */
const readerPauseMs = 500;

/**
 * Age of a confirmation up to which a gateway does not ask the store itself for urgent tables: two
 * waits of a reader and a hint. If all readers freeze, a change is read by then, well within the 3 s
 * in which a configuration has to be in force.
 */
const sharedFreshMs = 1_500;

/** The same for the system's own table, which is not urgent. */
const systemReaderWaitMs = 5_000;

const systemFreshMs = 11_000;

/** Sharing of the tables that all gateways read, in hints. */
export interface GatewaySharing {
  readonly configuration: TableSharing;
  readonly targets: TableSharing;
  readonly system: TableSharing;
  readonly section: HintSection;
}

export interface GatewaySharingOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly instance: string;
  /** Number of gateways; undefined while it is unknown. */
  gatewayCount(): number | undefined;
  requestHint(): void;
}

/** Key of the section of rows in the hints; its value has an item for each table. */
const rowsSectionKey = 'r';

/** Creates the sharing of the three tables. */
export function createGatewaySharing(options: GatewaySharingOptions): GatewaySharing {
  const create = (freshMs: number): TableSharing =>
    createTableSharing({
      ...options,
      freshMs,
      processCount: () => options.gatewayCount(),
      onPublish: () => options.requestHint(),
    });
  const configuration = create(sharedFreshMs);
  const targets = create(sharedFreshMs);
  const system = create(systemFreshMs);
  const tables = [configuration, targets, system];
  const section: HintSection = {
    key: rowsSectionKey,
    pack() {
      const packed = tables.map((table) => table.pack());
      if (packed.every((changes) => changes === undefined)) return undefined;
      return packed.map((changes) => (changes ? packChanges(changes) : 0));
    },
    merge(value, { instance }) {
      if (!Array.isArray(value)) return;
      for (const [index, table] of tables.entries()) {
        const changes = readChanges(value[index]);
        if (changes) table.merge(changes, instance);
      }
    },
  };
  return { configuration, targets, system, section };
}

/** Starts watching the configuration, the targets and the system's own rows. */
export function watchTables(options: GatewayFeedsOptions): GatewayFeeds {
  const { clock, random, log, platform, peers } = options;
  const { store, decoder } = platform;
  const { sharing } = options;
  /** Wait or pause of a gateway that reads a table for the others, or that of one that does not. */
  const byRole = (table: TableSharing | undefined, sharedMs: number, ownMs: number): number =>
    table?.hearsOthers() ? Math.min(sharedMs, ownMs) : ownMs;
  const resources = createDisposableStore();
  const sharedOptions = { clock, random, log, feed: store, eras: store.eras };
  const watches: { configuration?: TableWatch; targets?: TableWatch } = {};

  const publishVersions = (): void => {
    const { configuration, targets } = watches;
    peers.publishTableVersions([
      configuration?.newestRowVersion ?? 0,
      targets?.newestRowVersion ?? 0,
    ]);
  };

  const configuration = resources.add(
    watchTable({
      ...sharedOptions,
      table: decoder.configurationTable,
      sharing: sharing?.configuration,
      waitMs: () =>
        byRole(sharing?.configuration, readerWaitMs, configurationWaitMs(peers.count, random)),
      verifyMs: () => verificationMs('configuration', peers.count, random),
      onMissedChange: () => options.onMissedChange(decoder.configurationTable),
      onChange(change) {
        options.onConfiguration(change);
        publishVersions();
      },
    }),
  );
  watches.configuration = configuration;
  const targets = resources.add(
    watchTable({
      ...sharedOptions,
      table: decoder.targetTable,
      sharing: sharing?.targets,
      waitMs: () => byRole(sharing?.targets, readerWaitMs, minWaitMs),
      verifyMs: () => verificationMs('targets', peers.count, random),
      onMissedChange: () => options.onMissedChange(decoder.targetTable),
      pauseMs: () => byRole(sharing?.targets, readerPauseMs, targetPauseMs(peers.count)),
      onChange(change) {
        options.onTargets(change);
        publishVersions();
      },
    }),
  );
  watches.targets = targets;
  resources.add(
    watchTable({
      ...sharedOptions,
      table: store.systemTable,
      sharing: sharing?.system,
      waitMs: () => byRole(sharing?.system, systemReaderWaitMs, systemTableWaitMs),
      onChange: (change) => options.onSystemRows(change),
    }),
  );

  return {
    configuration,
    targets,
    sinceFailureMs: () => Math.min(configuration.sinceFailureMs(), targets.sinceFailureMs()),
    expectVersions([configurationVersion = 0, targetsVersion = 0]) {
      configuration.expectVersion(configurationVersion);
      targets.expectVersion(targetsVersion);
    },
    dispose: () => resources.dispose(),
  };
}
