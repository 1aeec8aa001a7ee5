import { type IncomingMessage } from 'node:http';
import { type BufferOverflow, type ByteBuffer } from '../base/bytebuffer.js';

/** Memory in bytes that a body has without the shared one. */
export const ownBodyBytes = 16_384;

/** Why a body was not read. */
type BodyFailure = BufferOverflow | 'incomplete';

/** Reads the whole body into the buffer, so that it can be sent again. */
export function readBody(req: IncomingMessage, buffer: ByteBuffer): Promise<Buffer | BodyFailure> {
  return new Promise((resolve) => {
    let isOver = false;
    const fail = (failure: BodyFailure): void => {
      isOver = true;
      buffer.dispose();
      resolve(failure);
    };
    req.on('data', (chunk: Buffer) => {
      const overflow = isOver ? undefined : buffer.push(chunk);
      if (overflow) fail(overflow);
    });
    req.on('end', () => {
      if (!isOver) resolve(buffer.take());
    });
    req.on('error', () => fail('incomplete'));
  });
}

export const hasNoBody = (req: IncomingMessage): boolean =>
  req.headers['transfer-encoding'] === undefined && (req.headers['content-length'] ?? '0') === '0';
