import { type TargetHead } from '../ports/wire.js';
import { type NotRunCause } from './attemptend.js';

/**
 * What the head of a response says about the work of its request. `failed`: the request may have run;
 * `isForwardable` is false when the status would tell the caller that it has not.
 */
export type ResponseMeaning =
  | { readonly kind: 'success' }
  | { readonly kind: 'not-run'; readonly cause: NotRunCause }
  | { readonly kind: 'failed'; readonly isForwardable: boolean };

/** Statuses with which callers may send any request again, because it has not run and never will. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Why a target turned a request away, by the status of a response that says so. */
const notRunCauses: Readonly<Record<number, NotRunCause>> = {
  400: 'misdirected',
  408: 'full',
  421: 'misdirected',
  429: 'full',
  503: 'full',
};

/**
 * Reads the status of a target's response. Only the header or status 421 proves that a request has not
 * run: a failing target may send any other status after it has done the work.
 */
export function meaningOf(
  status: number,
  { isNotRun, isSigned }: Pick<TargetHead, 'isNotRun' | 'isSigned'>,
): ResponseMeaning {
  const cause = notRunCauses[status];
  if (cause && (isNotRun || status === 421)) return { kind: 'not-run', cause };
  if (isSigned && status >= 200 && status < 300) return { kind: 'success' };
  return { kind: 'failed', isForwardable: isSigned && !refusalStatuses.has(status) };
}
