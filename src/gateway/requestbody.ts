import { type IncomingMessage } from 'node:http';
import { createAllowance } from '../base/allowance.js';
import { createByteBuffer } from '../base/bytebuffer.js';

/** Reads the whole body, so that it can be sent again; undefined if too large or incomplete. */
export function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const buffer = createByteBuffer({
      maxBytes,
      ownBytes: Infinity,
      allowance: createAllowance(0),
    });
    req.on('data', (chunk: Buffer) => {
      if (!buffer.push(chunk)) return;
      buffer.dispose();
      resolve(undefined);
    });
    req.on('end', () => resolve(buffer.take()));
    req.on('error', () => resolve(undefined));
  });
}

export const hasNoBody = (req: IncomingMessage): boolean =>
  req.headers['transfer-encoding'] === undefined && (req.headers['content-length'] ?? '0') === '0';
