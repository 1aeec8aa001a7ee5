import { type Row } from '../ports/rows.js';
import { type SharedChanges } from './sharing.js';

/** Message form: version before and after, age in milliseconds, and key, version, value of each row. */
export type PackedChanges = readonly [
  number,
  number,
  number,
  ...(readonly [string, number, string | null])[],
];

/** Rows that are read from one message; more than a sender sends. */
const maxRows = 64;

export const packChanges = ({ from, to, ageMs, rows }: SharedChanges): PackedChanges => [
  from,
  to,
  ageMs,
  ...rows.map(({ key, version, value }) => [key, version, value ?? null] as const),
];

const isVersion = (value: unknown): value is number => Number.isSafeInteger(value);

function readRow(raw: unknown): Row | undefined {
  if (!Array.isArray(raw)) return undefined;
  const [key, version, value] = raw as readonly unknown[];
  if (typeof key !== 'string' || !isVersion(version)) return undefined;
  if (value !== null && typeof value !== 'string') return undefined;
  return { key, version, value: value ?? undefined };
}

/**
 * Reads changes from the network; undefined when any part of them is malformed, because a row that is
 * left out would count as read.
 */
export function readChanges(raw: unknown): SharedChanges | undefined {
  if (!Array.isArray(raw) || raw.length > maxRows + 3) return undefined;
  const [from, to, ageMs, ...items] = raw as readonly unknown[];
  if (!isVersion(from) || !isVersion(to) || from > to) return undefined;
  if (typeof ageMs !== 'number' || !(ageMs >= 0)) return undefined;
  const rows: Row[] = [];
  for (const item of items) {
    const row = readRow(item);
    if (!row || row.version > to) return undefined;
    rows.push(row);
  }
  return { from, to, ageMs, rows };
}
