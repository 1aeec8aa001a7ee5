import { ConnectError } from '@connectrpc/connect';
import { errMessage, TargetFailedError, TargetRefusedError } from './errors.js';

const refusedCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Returns true when no byte of a call can have left this process because the connection was refused
 * or the host is unreachable. Connect reports a connection that failed later with the same code, so
 * only a system error of the `connect` call counts.
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

/** Error code of undici for a connection that was not established in time. */
const connectTimeoutCode = 'UND_ERR_CONNECT_TIMEOUT';

/**
 * Converts an error of a call to a target; only a connection that was never established is a
 * refusal.
 */
export function toTargetError(err: unknown, target: string): Error {
  const timedOut = (err as { code?: string } | null)?.code === connectTimeoutCode;
  if (timedOut || isConnectionRefused(err)) {
    return new TargetRefusedError(`${target} refused the connection`);
  }
  return new TargetFailedError(`${target} connection failed: ${errMessage(err)}`);
}
