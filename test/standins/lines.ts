import { Writable } from 'node:stream';

/** Creates a writable stream that collects log lines. */
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
