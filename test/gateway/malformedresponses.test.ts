import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { headerProtocol } from '../../platform/headers.js';
import { createCallerResponse } from '../../src/gateway/response.js';
import { messageOf, startStream } from '../standins/attempt.js';

/** Starts an attempt of a stream that writes to a response of Node. */
function startForwarding() {
  const res = new ServerResponse(new IncomingMessage(new Socket()));
  const callerResponse = createCallerResponse(res, headerProtocol, 'r');
  const { started, attempt } = startStream({ isWatched: false }, callerResponse);
  return { listener: started.listener, attempt, callerResponse };
}

// Guards against responses that reach functions which throw for them in event handlers, which ended
// the gateway with all its requests. They come without a parser, as new ones reject some of them.
describe('a malformed response of a target', () => {
  it.each<[string, number, readonly string[]]>([
    ['a space in the name of a header', 200, ['Cache Control', 'no-store']],
    ['a space after the name of a header', 200, ['Cache-Control ', 'no-store']],
    ['a header without a name', 200, ['', 'no-store']],
    ['a control character in a header', 200, ['Cache-Control', 'no\u0001store']],
    ['status 000', 0, []],
    ['status 099', 99, []],
    ['status 101', 101, []],
    ['status 1000', 1_000, []],
  ])(
    'fails its attempt and leaves the caller free for another response (%s)',
    async (...params) => {
      const [, status, headers] = params;
      const { listener, attempt, callerResponse } = startForwarding();
      listener?.onHead(messageOf(status, ...headers), false);
      listener?.onData(Buffer.from('id: 1\ndata: a\n\n'));
      listener?.onEnd();
      expect((await attempt.ended).kind).toBe('failed');
      expect(callerResponse.hasStarted).toBe(false);
      callerResponse.sendLocal('failed');
      expect(callerResponse.status).toBe(502);
    },
  );

  it('breaks a stream before an event whose id can not be sent to the next target', async () => {
    const { listener, attempt, callerResponse } = startForwarding();
    listener?.onHead(messageOf(200, 'Content-Type', 'text/event-stream'), false);
    listener?.onData(Buffer.from('id: 1\ndata: a\n\n'));
    listener?.onData(Buffer.from('id: 2\u0001\ndata: b\n\n'));
    expect((await attempt.ended).kind).toBe('broken');
    expect(callerResponse.bodyBytes).toBe('id: 1\ndata: a\n\n'.length);
    expect(callerResponse.mayResumeAfter('1')).toBe(true);
  });

  it('does not count as the start of a response when its head can not be written', () => {
    const { callerResponse } = startForwarding();
    const writer = callerResponse.openWriter(undefined);
    expect(() => writer.begin(messageOf(200, 'Cache Control', 'no-store'), false)).toThrow();
    expect(callerResponse.hasStarted).toBe(false);
  });
});
