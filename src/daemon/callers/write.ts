/** Writing to callers that may read slowly. */
import { type ServerResponse } from 'node:http';

/** Waits until a slow reader has taken what was written. */
export function waitForDrain(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      res.off('drain', done);
      res.off('close', done);
      resolve();
    };
    res.on('drain', done);
    res.on('close', done);
  });
}

/** Writes one server-sent event and waits until the caller has room for more. */
export async function writeEvent(res: ServerResponse, data: string, id?: number): Promise<void> {
  if (res.destroyed) return;
  const idLine = id === undefined ? '' : `id: ${id}\n`;
  if (!res.write(`${idLine}data: ${data}\n\n`)) await waitForDrain(res);
}
