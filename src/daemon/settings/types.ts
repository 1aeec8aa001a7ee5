import { type HostPort, parseHostPort } from '../../base/address.js';
import { logLevels } from '../../base/logging.js';
import { policyNames } from '../../routing/policies.js';

/** Result of parsing one value: the value, or a description of the expected text. */
export type ParseResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly expected: string };

/** Description and parser of one type of INI value. */
export interface ValueType<T> {
  readonly description: string;
  parse(text: string): ParseResult<T>;
}

function success<T>(value: T): ParseResult<T> {
  return { ok: true, value };
}

function valueType<T>(
  description: string,
  parseText: (text: string) => T | undefined,
): ValueType<T> {
  return {
    description,
    parse(text) {
      const value = parseText(text);
      return value === undefined ? { ok: false, expected: description } : success(value);
    },
  };
}

function oneOf<T extends string>(values: readonly T[]): ValueType<T> {
  return valueType(`one of ${values.join(', ')}`, (text) => values.find((item) => item === text));
}

const unitMs: Readonly<Record<string, number>> = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 };

/** Shortest deadline of new weights: the margin of `gateway/weightsage.ts` and a second for a load. */
const minWeightsDeadlineMs = 2_000;

const unitBytes: Readonly<Record<string, number>> = {
  B: 1,
  KiB: 1_024,
  // Unit of `limits.memoryMb`: the decimal reading never allows more memory than the machine has.
  MB: 1_000_000,
  MiB: 1_024 ** 2,
};

function parseWithUnit(text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text);
  const factor = match && units[match[2] as string];
  return factor ? Number(match[1]) * factor : undefined;
}

function parseUrl(text: string): string | undefined {
  if (!/^https?:\/\//.test(text) || !URL.canParse(text)) return undefined;
  return text.replace(/\/+$/, '');
}

function parseAddressList(text: string): readonly string[] | undefined {
  const parts = text.split(',').map((part) => part.trim());
  const found = parts.filter((part) => part !== '');
  if (found.some((part) => parseHostPort(part) === undefined)) return undefined;
  return found.map((part) => `http://${part}`);
}

export const valueTypes = {
  text: valueType('a non-empty string', (text) => text || undefined),
  secret: valueType('a string of at least 16 characters', (text) =>
    text.length >= 16 ? text : undefined,
  ),
  name: valueType('letters, digits, . _ -', (text) =>
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/.test(text) ? text : undefined,
  ),
  hash: valueType('a SHA-256 hash in lower-case hex', (text) =>
    /^[0-9a-f]{64}$/.test(text) ? text : undefined,
  ),
  address: valueType<HostPort>('an IP address and port, such as 127.0.0.1:8080', parseHostPort),
  addresses: valueType('a comma-separated list of IP addresses and ports', parseAddressList),
  url: valueType('a URL such as http://127.0.0.1:8000', parseUrl),
  duration: valueType('a number with ms, s, min or h, such as 2s', (text) =>
    parseWithUnit(text, unitMs),
  ),
  /** Leaves time to send a request and to load weights before the deadline. */
  weightsDeadline: valueType('a number with ms, s, min or h, at least 2s', (text) => {
    const ms = parseWithUnit(text, unitMs);
    return ms !== undefined && ms >= minWeightsDeadlineMs ? ms : undefined;
  }),
  size: valueType('a number with B, KiB, MB or MiB, such as 4MiB', (text) =>
    parseWithUnit(text, unitBytes),
  ),
  count: valueType('a whole number above 0', (text) =>
    /^[1-9]\d{0,8}$/.test(text) ? Number(text) : undefined,
  ),
  ratio: valueType('a number from 0 to 1', (text) =>
    /^(0|1|0?\.\d+|1\.0+|0\.\d+)$/.test(text) ? Number(text) : undefined,
  ),
  amount: valueType('a non-negative number', (text) =>
    /^\d{1,9}(\.\d+)?$/.test(text) ? Number(text) : undefined,
  ),
  switch: oneOf(['on', 'off'] as const),
  role: oneOf(['entry', 'agent'] as const),
  targetKind: oneOf(['engine', 'service'] as const),
  logLevel: oneOf(logLevels),
  policy: oneOf(policyNames),
};
