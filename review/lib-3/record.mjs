import { writeFile } from 'node:fs/promises';

/** Collects the lines of `record.txt`; times are seconds since the start of the script. */
export function createRecord(path) {
  const startedAt = performance.now();
  const lines = [];
  const now = () => (performance.now() - startedAt) / 1_000;
  return {
    now,
    add(text) {
      lines.push(`${now().toFixed(3).padStart(8)}  ${text}`);
    },
    save: () => writeFile(path, `${lines.join('\n')}\n`),
  };
}
