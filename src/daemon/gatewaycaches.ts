import { errMessage } from '../base/errors.js';
import { type CacheImportOptions, importCaches } from '../gateway/cacheimport.js';
import { type KvStores } from '../gateway/kvstores.js';
import { type TargetDirectory } from '../gateway/targets.js';
import { type SiteConfiguration } from '../ports/site.js';

/** Keeps the cache model in step with the configuration and the list of targets. */
export interface GatewayCaches {
  /** Called after each change of the configuration or the targets. */
  update(configuration: SiteConfiguration): void;
}

export interface GatewayCachesOptions {
  readonly directory: Pick<TargetDirectory, 'all'>;
  readonly stores: Pick<KvStores, 'live'>;
  readonly import: CacheImportOptions;
}

export function createGatewayCaches(options: GatewayCachesOptions): GatewayCaches {
  const { directory, stores } = options;
  const { cache, log } = options.import;
  let isImported = false;

  /** Asks the holders once what they keep, as soon as they are known. */
  const importOnce = (): void => {
    if (isImported || directory.all.length === 0) return;
    isImported = true;
    const engines = directory.all.filter(({ registration }) => registration.weights.size > 0);
    const holders = [
      ...stores.live.map(({ locationName, address }) => ({ name: locationName, address })),
      ...engines.map(({ id, registration }) => ({ name: id, address: registration.address })),
    ];
    importCaches(holders, options.import).catch((err: unknown) =>
      log.warn({ err: errMessage(err) }, 'cache model starts empty'),
    );
  };

  return {
    update({ services }) {
      for (const { id, registration } of directory.all) {
        const spec = services.find(({ name }) => name === registration.service);
        if (spec?.engine) cache.setCapacity(id, spec.engine.kvTokens);
      }
      importOnce();
    },
  };
}
