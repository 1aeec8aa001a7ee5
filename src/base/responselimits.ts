import { type HostPort } from './address.js';
import { CicadatideError } from './errors.js';

/** Calls whose responses are limited. */
export type CallKind = 'request' | 'report' | 'order' | 'cache-events' | 'store';

/** A response that was given up because it exceeds a limit. */
export interface OversizedResponse {
  readonly call: CallKind;
  /** Address of the server that sent it. */
  readonly address: HostPort;
  /** Bytes received for the response, including its head and framing. */
  readonly receivedBytes: number;
  /** The limit, with its value in bytes. */
  readonly cause: string;
}

/** Collects what is known about oversized responses of all calls of a process. */
export interface ResponseMonitor {
  report(response: OversizedResponse): void;
  /** Sets the listener; earlier reports are lost. */
  listen(listener: (response: OversizedResponse) => void): void;
}

/** A response exceeds a limit; its connection is closed. */
export const ResponseLimitError = CicadatideError.subclass('ResponseLimitError');

/** Errors of Node's HTTP parser for heads and chunk extensions that exceed its limit. */
const overflowCodes = new Set(['HPE_HEADER_OVERFLOW', 'HPE_CHUNK_EXTENSIONS_OVERFLOW']);

/** True for errors of responses that exceed a limit of this project or of Node's parser. */
export function isResponseLimit(err: unknown): boolean {
  if (err instanceof ResponseLimitError) return true;
  return overflowCodes.has((err as NodeJS.ErrnoException).code ?? '');
}

export function createResponseMonitor(): ResponseMonitor {
  let listener: ((response: OversizedResponse) => void) | undefined;
  return {
    report: (response) => listener?.(response),
    listen(next) {
      listener = next;
    },
  };
}
