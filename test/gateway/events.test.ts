import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createResponseMonitor } from '../../src/base/responselimits.js';
import { createEventSplitter } from '../../src/gateway/events.js';

const toStream = (lineEnd: string): string =>
  [1, 2, 3, 40]
    .map((id) => ['x-note: 1', `id: ${id}`, 'data: text with id: 9 inside', '', ''].join(lineEnd))
    .join('');

describe('event splitter', () => {
  it.each(['\n', '\r\n'])('returns only complete events for any chunk sizes (%j)', (lineEnd) => {
    const stream = toStream(lineEnd);
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 20 }), (sizes) => {
        const splitter = createEventSplitter(createResponseMonitor().createBuffer('request'));
        let output = '';
        let lastId: string | undefined;
        let at = 0;
        for (const size of [...sizes, stream.length]) {
          const batch = splitter.push(Buffer.from(stream.slice(at, at + size)));
          at += size;
          if (!batch) continue;
          output += batch.bytes.toString();
          lastId = batch.lastId ?? lastId;
          expect(output.endsWith(`${lineEnd}${lineEnd}`)).toBe(true);
        }
        expect(output).toBe(stream);
        expect(lastId).toBe('40');
        expect(splitter.pendingBytes).toBe(0);
      }),
    );
  });

  it('buffers an incomplete event', () => {
    const splitter = createEventSplitter(createResponseMonitor().createBuffer('request'));
    const batch = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect([batch?.bytes.toString(), batch?.lastId]).toEqual(['id: 1\ndata: a\n\n', '1']);
    expect(splitter.pendingBytes).toBe(8);
  });

  it('accepts lines that end with carriage return and line feed', () => {
    const splitter = createEventSplitter(createResponseMonitor().createBuffer('request'));
    const batch = splitter.push(Buffer.from('id: 7\r\ndata: a\r\n\r\n'));
    expect(batch?.lastId).toBe('7');
  });
});
