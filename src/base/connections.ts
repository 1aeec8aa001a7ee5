import { ConnectError } from '@connectrpc/connect';

const refusedCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * True when no byte of a call can have left this process, because the connection itself was
 * refused. A connection that broke later is reported with the same Connect code, so only the
 * system error of the connect call counts.
 */
export function isConnectionRefused(err: unknown): boolean {
  let cause: unknown = err instanceof ConnectError ? err.cause : err;
  for (let depth = 0; depth < 4 && cause instanceof Error; depth += 1) {
    const { code, syscall } = cause as NodeJS.ErrnoException;
    if (syscall === 'connect' && refusedCodes.has(code ?? '')) return true;
    cause = cause.cause;
  }
  return false;
}
