import { isContentId, type RequestContent } from './content.js';
import { type Accusation } from './evidence.js';

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

/**
 * True when the evidence now names more parts than the row: those of the row were lost with the others in
 * all crashes, so prompts without the others may be sound. Evidence of fewer crashes than the row has
 * tells nothing, as in a gateway that has just started.
 */
export const isTooBroad = (row: QuarantineRow, partId: string, accusation: Accusation): boolean =>
  row.partIds.includes(partId) &&
  row.partIds.length < accusation.partIds.length &&
  row.crashes <= accusation.crashes &&
  includesAll(accusation.partIds, row.partIds);

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
