/** Writes to responses with backpressure, because callers may read slowly. */
import { type ServerResponse } from 'node:http';

/** Waits until the write buffer of the response has drained or the response is closed. */
export function waitForDrain(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      res.off('drain', finish);
      res.off('close', finish);
      resolve();
    };
    res.on('drain', finish);
    res.on('close', finish);
  });
}

/** Writes one server-sent event and waits while the write buffer is full. */
export async function writeEvent(res: ServerResponse, data: string, id?: number): Promise<void> {
  if (res.destroyed) return;
  const idLine = id === undefined ? '' : `id: ${id}\n`;
  if (!res.write(`${idLine}data: ${data}\n\n`)) await waitForDrain(res);
}
