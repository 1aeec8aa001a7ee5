import { type FaultyHttpServer, startFaultyHttpServer } from './httpfaults.js';

function failure(status: number, code: string) {
  const headers = { 'content-type': 'application/xml' };
  return { status, headers, body: `<Error><Code>${code}</Code><Message>${code}</Message></Error>` };
}

/** Stand-in for an S3-compatible object store: PutObject and GetObject with path-style URLs. */
export function startS3(): Promise<FaultyHttpServer> {
  const objects = new Map<string, Buffer>();
  return startFaultyHttpServer({
    handle(req, body) {
      const [path = ''] = (req.url ?? '').split('?');
      if (req.method === 'PUT') {
        objects.set(path, body);
        return { status: 200, headers: { etag: '"stand-in"' } };
      }
      const found = objects.get(path);
      return found ? { status: 200, body: found } : failure(404, 'NoSuchKey');
    },
    rejection: failure(403, 'AccessDenied'),
  });
}
