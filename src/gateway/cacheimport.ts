import { type HostPort } from '../base/address.js';
import { type CancellationToken } from '../base/cancellation.js';
import { type Clock, sleep } from '../base/clock.js';
import { errMessage } from '../base/errors.js';
import { type Logger } from '../base/logging.js';
import { shuffled, type Random } from '../base/random.js';
import { type CacheReader } from '../ports/wire.js';
import { type CacheModel } from './cachemodel.js';

/** An engine or a store of KV cache, under its name in the cache model. */
export interface CacheHolder {
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

/** Holders that are asked at the same time, so that the answers don't hold up requests. */
const concurrency = 4;

/**
 * Most holders that are asked. An answer with the 770 changes that a site's holders keep has 48 KB
 * and takes 0.6 ms to parse on a whole core; a process with a quarter of one has to serve meanwhile.
 */
const maxHolders = 48;

/** A holder answers a few of these calls at once and refuses the others. */
const maxTries = 3;

const retryMs = 300;

/**
 * Fills the cache model of a process that has just started with what the holders say. Entries that
 * all start at once know nothing, and without this the engines read shared parts again that they
 * still keep.
 */
export async function importCaches(
  holders: readonly CacheHolder[],
  options: CacheImportOptions,
): Promise<void> {
  const { clock, random, log, reader, cache, token } = options;
  const waiting = shuffled(random, holders).slice(0, maxHolders);
  let changes = 0;
  let failed = 0;

  const read = async ({ name, address }: CacheHolder): Promise<void> => {
    for (let tries = 1; !token.isCancellationRequested; tries += 1) {
      try {
        const told = await reader.recentChanges(address, token);
        cache.learn(name, told);
        changes += told.length;
        return;
      } catch (err) {
        if (token.isCancellationRequested) return;
        if (tries >= maxTries) {
          failed += 1;
          log.debug({ holder: name, err: errMessage(err) }, 'kept KV cache was not read');
          return;
        }
        await sleep(clock, retryMs * (0.5 + random.next()), token).catch(() => undefined);
      }
    }
  };

  const work = async (): Promise<void> => {
    for (let holder = waiting.pop(); holder; holder = waiting.pop()) await read(holder);
  };

  const asked = waiting.length;
  await Promise.all(Array.from({ length: concurrency }, work));
  if (token.isCancellationRequested) return;
  log.info({ asked, failed, changes }, 'cache model was filled from the holders');
}
