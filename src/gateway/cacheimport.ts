import { type HostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { shuffled, type Random } from '../base/random.js';
import { type CacheReader } from '../ports/wire.js';
import { type CacheModel } from './cachemodel.js';

/** An engine or a KV store, under its name in the cache model. */
export interface CacheLocation {
  readonly name: string;
  readonly address: HostPort;
}

export interface CacheImportOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly reader: CacheReader;
  readonly cache: CacheModel;
  readonly token: CancellationToken;
}

/** Locations that are queried in parallel; a few, so that their replies don't delay requests. */
const concurrency = 4;

/**
 * Largest number of locations that are queried. A reply with the 770 changes that a site's locations
 * keep has 48 KB and takes 0.6 ms to parse on a full core, and a process with a quarter of a core
 * has to serve requests meanwhile.
 */
const maxLocations = 48;

/** A location serves a few of these calls at once and refuses the others, so they are retried. */
const maxAttempts = 3;

const retryDelayMs = 300;

/**
 * Fills the cache model of a newly started process with the changes that the cache locations
 * report. Gateways that all restart at once have empty models, and without this import the engines
 * would prefill shared parts again that they still cache.
 */
export async function importCaches(
  locations: readonly CacheLocation[],
  options: CacheImportOptions,
): Promise<void> {
  const { clock, random, log, reader, cache, token } = options;
  const queue = shuffled(random, locations).slice(0, maxLocations);
  let changes = 0;
  let failed = 0;

  const importFrom = async ({ name, address }: CacheLocation): Promise<void> => {
    for (let attempt = 1; !token.isCancellationRequested; attempt += 1) {
      try {
        const received = await reader.recentChanges(address, token);
        cache.importChanges(name, received);
        changes += received.length;
        return;
      } catch (err) {
        if (token.isCancellationRequested) return;
        if (attempt >= maxAttempts) {
          failed += 1;
          log.debug(
            { holder: name, err: errMessage(err) },
            'cache changes could not be read; the location is skipped',
          );
          return;
        }
        await sleep(clock, retryDelayMs * (0.5 + random.next()), token).catch(() => undefined);
      }
    }
  };

  const runWorker = async (): Promise<void> => {
    for (let location = queue.pop(); location; location = queue.pop()) await importFrom(location);
  };

  const asked = queue.length;
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  if (token.isCancellationRequested) return;
  log.info({ asked, failed, changes }, 'cache model was filled from engines and KV stores');
}
