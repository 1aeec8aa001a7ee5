import { timingSafeEqual } from 'node:crypto';
import { Code, ConnectError, type Interceptor } from '@connectrpc/connect';

const headerName = 'x-cicadatide-credential';

/** Client interceptor that adds the internal credential to every call. */
export function clientCredential(credential: string): Interceptor {
  return (next) => (req) => {
    req.header.set(headerName, credential);
    return next(req);
  };
}

/** Server interceptor that rejects calls without the internal credential. */
export function serverCredential(credential: string): Interceptor {
  const expected = Buffer.from(credential);
  return (next) => (req) => {
    const given = Buffer.from(req.header.get(headerName) ?? '');
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) {
      throw new ConnectError(
        'internal credential is missing or wrong; check it in the settings',
        Code.Unauthenticated,
      );
    }
    return next(req);
  };
}
