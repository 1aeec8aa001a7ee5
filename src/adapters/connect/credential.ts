import { timingSafeEqual } from 'node:crypto';
import { Code, ConnectError, type Interceptor } from '@connectrpc/connect';

const headerName = 'x-cicadatide-credential';

/** Adds the internal credential to every call. */
export function clientCredential(credential: string): Interceptor {
  return (next) => (req) => {
    req.header.set(headerName, credential);
    return next(req);
  };
}

/** Rejects calls that do not carry the internal credential. */
export function serverCredential(credential: string): Interceptor {
  const expected = Buffer.from(credential);
  return (next) => (req) => {
    const given = Buffer.from(req.header.get(headerName) ?? '');
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
      throw new ConnectError('internal credential is missing or wrong', Code.Unauthenticated);
    }
    return next(req);
  };
}
