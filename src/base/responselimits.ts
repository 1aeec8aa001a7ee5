import { type HostPort } from './address.js';
import { type Allowance, createAllowance } from './allowance.js';
import { type BufferOverflow, type ByteBuffer, createByteBuffer } from './bytebuffer.js';
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

/** Limits the responses to all calls of a process and collects those that exceed a limit. */
export interface ResponseMonitor {
  /** Memory that responses hold beyond their own, in bytes. */
  readonly heldBytes: number;
  /** Creates the buffer of one response, limited by the kind of its call. */
  createBuffer(call: CallKind): ByteBuffer;
  /** Sets the memory that all responses of targets share, in bytes. */
  limitTargets(maxBytes: number): void;
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

/**
 * Longest buffered response by the kind of its call, in bytes. Of a forwarded request, that is a plain
 * response, which is forwarded once it is complete or longer, a failure response or one event; events
 * have up to 390 bytes by the operators' sheets. A report names the runs of an engine with about 45
 * bytes each. A response with the 770 cache changes that a site's engines keep has 48 KB. The platform
 * limits most responses of its store to 1 MB before their encoding.
 */
export const maxBufferedBytes: Readonly<Record<CallKind, number>> = {
  request: 262_144,
  report: 262_144,
  order: 16_384,
  'cache-events': 1_048_576,
  store: 8 * 1_048_576,
};

/**
 * Memory in bytes that a response has without the shared one, so that faulty servers can't keep sound
 * ones from sending events, reports and failures of usual size.
 */
const ownBytes = 16_384;

/** Error of a response that its buffer could not store. */
export function toLimitError(what: string, call: CallKind, overflow: BufferOverflow): Error {
  const causes: Readonly<Record<BufferOverflow, string>> = {
    'too-long': `${what} is longer than ${maxBufferedBytes[call]} bytes`,
    'no-memory': `${what} is longer than ${ownBytes} bytes while other responses hold the memory`,
  };
  return new ResponseLimitError(causes[overflow]);
}

/**
 * Memory that all responses share, in bytes. The smallest machine has 200 MB, of which the heap and
 * code of the process take up to 140 MB. The store has its own share, because the gateway can't do
 * without it.
 */
export const sharedBytes = { targets: 16 * 1_048_576, store: 12 * 1_048_576 } as const;

export function createResponseMonitor(): ResponseMonitor {
  const targets = createAllowance(sharedBytes.targets);
  const store = createAllowance(sharedBytes.store);
  const allowances: Readonly<Record<CallKind, Allowance>> = {
    request: targets,
    report: targets,
    order: targets,
    'cache-events': targets,
    store,
  };
  let listener: ((response: OversizedResponse) => void) | undefined;
  return {
    get heldBytes() {
      return targets.heldBytes + store.heldBytes;
    },
    createBuffer: (call) =>
      createByteBuffer({
        maxBytes: maxBufferedBytes[call],
        ownBytes,
        allowance: allowances[call],
      }),
    limitTargets: (maxBytes) => targets.limit(maxBytes),
    report: (response) => listener?.(response),
    listen(next) {
      listener = next;
    },
  };
}
