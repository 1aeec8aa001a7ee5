import { readFileSync } from 'node:fs';

/** Reads the version of this package. */
export function readVersion(): string {
  for (const path of ['../../package.json', '../../../package.json']) {
    try {
      const text = readFileSync(new URL(path, import.meta.url), 'utf8');
      return (JSON.parse(text) as { readonly version: string }).version;
    } catch {
      // The sources and the built package are at different depths below package.json.
    }
  }
  return 'unknown';
}
