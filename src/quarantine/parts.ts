import { createHash } from 'node:crypto';
import { type PromptPart } from '../ports/wire.js';

/** Longer ids are replaced by their SHA-256 hash, which bounds memory, hints and row keys. */
const maxIdLength = 64;

/** Parts of one prompt that are recorded; each is one level of a hierarchy of shared prefixes. */
const maxParts = 16;

/**
 * Ids of the prompt parts that requests share. The last part belongs to one request or session, so
 * it tells nothing about other requests.
 */
export function sharedPartIds(parts: readonly PromptPart[]): readonly string[] {
  return parts
    .slice(0, -1)
    .slice(0, maxParts)
    .map(({ id }) =>
      id.length <= maxIdLength ? id : createHash('sha256').update(id).digest('hex'),
    );
}
