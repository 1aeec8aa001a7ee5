import { isContentId, type RequestContent } from './content.js';

/** State of a quarantined combination of prompt parts, or of one content, in the store. */
export interface QuarantineRow {
  /** A prompt with all of these parts is not sent, nor a request with this content id. */
  readonly partIds: readonly string[];
  readonly crashes: number;
  /** Prompts that were sent in spite of the quarantine, to find out whether it is justified. */
  readonly trials: number;
}

export const includesAll = (partIds: readonly string[], others: readonly string[]): boolean =>
  others.every((id) => partIds.includes(id));

/** The content id is computed only where a quarantined content is compared with it. */
export const holds = ({ partIds }: QuarantineRow, content: RequestContent): boolean =>
  partIds.every((id) => (isContentId(id) ? content.id === id : content.partIds.includes(id)));

const keyPrefix = 'quarantine.';

/** Key of the row in the system's own table; the first part identifies the combination. */
export const quarantineKey = ([first]: readonly string[]): string => `${keyPrefix}${first}`;

export const isQuarantineKey = (key: string): boolean => key.startsWith(keyPrefix);

export const encodeRow = (row: QuarantineRow): string => JSON.stringify(row);

/** Undefined for a value that no gateway writes. */
export function decodeRow(value: string): QuarantineRow | undefined {
  try {
    const { partIds, crashes, trials } = JSON.parse(value) as Partial<QuarantineRow>;
    if (!Array.isArray(partIds) || partIds.length === 0) return undefined;
    if (!partIds.every((id) => typeof id === 'string')) return undefined;
    if (typeof crashes !== 'number' || typeof trials !== 'number') return undefined;
    return { partIds, crashes, trials };
  } catch {
    return undefined;
  }
}
