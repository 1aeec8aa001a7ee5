import { type ObjectPort } from '../../ports/objects.js';

/** Creates an in-memory object store for the quickstart, tests and measurements. */
export function createMemoryObjects(): ObjectPort {
  const objects = new Map<string, Uint8Array>();
  return {
    async put(key, body) {
      objects.set(key, body.slice());
    },
    get: async (key) => objects.get(key)?.slice(),
  };
}
