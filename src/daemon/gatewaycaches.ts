import { errMessage } from '../base/errors.js';
import { type CacheImportOptions, importCaches } from '../gateway/cacheimport.js';
import { type KvStores } from '../gateway/kvstores.js';
import { type TargetDirectory } from '../gateway/targets.js';
import { type SiteConfiguration } from '../ports/site.js';

/** Updates the cache model from the configuration and the list of targets. */
export interface CacheModelUpdater {
  /** Must be called after each change of the configuration or the targets. */
  update(configuration: SiteConfiguration): void;
}

export interface CacheModelUpdaterOptions {
  readonly directory: Pick<TargetDirectory, 'all'>;
  readonly stores: Pick<KvStores, 'live'>;
  readonly import: CacheImportOptions;
}

export function createCacheModelUpdater(options: CacheModelUpdaterOptions): CacheModelUpdater {
  const { directory, stores } = options;
  const { cache, log } = options.import;
  let isImported = false;

  /** Imports the contents of the cache locations once, when the first targets are listed. */
  const importOnce = (): void => {
    if (isImported || directory.all.length === 0) return;
    isImported = true;
    const engines = directory.all.filter(({ registration }) => registration.weights.size > 0);
    const locations = [
      ...stores.live.map(({ locationName, address }) => ({ name: locationName, address })),
      ...engines.map(({ id, registration }) => ({ name: id, address: registration.address })),
    ];
    importCaches(locations, options.import).catch((err: unknown) =>
      log.warn({ err: errMessage(err) }, 'cache import failed; cache model starts empty'),
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
