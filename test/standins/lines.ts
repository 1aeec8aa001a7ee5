import { Writable } from 'node:stream';

/** Log stream that keeps its lines. */
export function createLineStream(): { readonly stream: Writable; readonly lines: string[] } {
  const lines: string[] = [];
  const stream = new Writable({
    write(chunk, _encoding, done) {
      lines.push(String(chunk));
      done();
    },
  });
  return { stream, lines };
}
