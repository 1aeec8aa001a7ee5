import { type IncomingMessage } from 'node:http';

/** Reads the whole body, so that it can be sent again; undefined if too large or incomplete. */
export function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) resolve(undefined);
      else chunks.push(chunk);
    });
    req.on('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    req.on('error', () => resolve(undefined));
  });
}

export const hasNoBody = (req: IncomingMessage): boolean =>
  req.headers['transfer-encoding'] === undefined && (req.headers['content-length'] ?? '0') === '0';
