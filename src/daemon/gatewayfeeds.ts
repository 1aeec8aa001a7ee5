import { type Clock } from '../base/clock.js';
import { createDisposableStore, type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type Random } from '../base/random.js';
import { type RowChange, type TableWatch, watchTable } from '../configuration/watch.js';
import { type Peers } from '../gateway/peers.js';
import { type GatewayPlatform } from './gatewayplatform.js';

/** The tables that a gateway follows. */
export interface GatewayFeeds extends Disposable {
  readonly configuration: TableWatch;
  readonly targets: TableWatch;
  /** Takes over what a peer saw, in the order in which `Peers.publishTableVersions` tells it. */
  expect(versions: readonly number[]): void;
}

export interface GatewayFeedsOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly platform: Pick<GatewayPlatform, 'store' | 'decoder'>;
  readonly peers: Pick<Peers, 'count' | 'publishTableVersions'>;
  onConfiguration(change: RowChange): void;
  onTargets(change: RowChange): void;
  onOwnRows(change: RowChange): void;
}

/**
 * Wait of one call for changes of the targets, and of a process without peers. A connection that
 * goes silent is noticed after this and a second, before a change that follows has to be in force.
 * Entries of targets lapse while the store is silent, so it must be noticed before it is back.
 */
const minWaitMs = 3_000;

/**
 * Wait for changes of the configuration for each entry. All entries together ask twice a second whatever their number, and the one
 * that hears of a change first tells the others, so that a silent connection of theirs is noticed.
 */
const waitMsPerEntry = 500;

/** Longest mean wait; with its spread it stays below the 30 s that the store keeps a call. */
const maxWaitMs = 15_000;

/** Part by which waits differ, so that the entries ask at different times. */
const waitSpread = 0.5;

/** Wait for changes of the system's own rows; a missed one only delays a takeover. */
const ownWaitMs = 25_000;

/**
 * Targets change together, so their changes are read together. Each read of one change is a call of
 * each entry, so more entries wait longer; a target that leaves serves for two seconds after it.
 */
const minPauseMs = 400;

const pauseMsPerEntry = 35;

const maxPauseMs = 1_000;

/** Wait of a call for changes of the configuration, for the number of entries. */
export function configurationWaitMs(entries: number, random: Random): number {
  const mean = Math.min(maxWaitMs, entries * waitMsPerEntry);
  return Math.round(Math.max(minWaitMs, mean * (1 + waitSpread * (2 * random.next() - 1))));
}

/** Pause after a change of the targets, for the number of entries. */
export function targetPauseMs(entries: number): number {
  return Math.min(maxPauseMs, Math.max(minPauseMs, entries * pauseMsPerEntry));
}

/** Follows the tables of the platform. */
export function followTables(options: GatewayFeedsOptions): GatewayFeeds {
  const { clock, random, log, platform, peers } = options;
  const { store, decoder } = platform;
  const resources = createDisposableStore();
  const common = { clock, random, log, feed: store };
  const watches: { configuration?: TableWatch; targets?: TableWatch } = {};

  const tell = (): void => {
    const { configuration, targets } = watches;
    peers.publishTableVersions([
      configuration?.newestRowVersion ?? 0,
      targets?.newestRowVersion ?? 0,
    ]);
  };

  const configuration = resources.add(
    watchTable({
      ...common,
      table: decoder.configurationTable,
      waitMs: () => configurationWaitMs(peers.count, random),
      onChange(change) {
        options.onConfiguration(change);
        tell();
      },
    }),
  );
  watches.configuration = configuration;
  const targets = resources.add(
    watchTable({
      ...common,
      table: decoder.targetTable,
      waitMs: () => minWaitMs,
      pauseMs: () => targetPauseMs(peers.count),
      onChange(change) {
        options.onTargets(change);
        tell();
      },
    }),
  );
  watches.targets = targets;
  resources.add(
    watchTable({
      ...common,
      table: store.ownTable,
      waitMs: () => ownWaitMs,
      onChange: (change) => options.onOwnRows(change),
    }),
  );

  return {
    configuration,
    targets,
    expect([configurationVersion = 0, targetsVersion = 0]) {
      configuration.expectVersion(configurationVersion);
      targets.expectVersion(targetsVersion);
    },
    dispose: () => resources.dispose(),
  };
}
