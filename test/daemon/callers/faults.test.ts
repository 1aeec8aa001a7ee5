import { connect } from 'node:net';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { type DaemonProcess } from '../../../src/daemon/process.js';
import { siteRecords, startSiteEntry, teamKey } from '../../standins/site.js';

const model = 'test-model';
let entry: DaemonProcess;

beforeAll(async () => {
  entry = await startSiteEntry({
    name: 'entry-1',
    agents: [],
    configuration: siteRecords(['red'], [model], ['desk']),
    sections: { requests: { body_timeout: '200ms', max_body: '4KiB', max_header: '2KiB' } },
  });
});

afterAll(() => {
  entry.stop();
});

/** Sends raw bytes and returns the complete response. */
function sendRaw(text: string | Buffer): Promise<string> {
  const { port } = new URL(entry.addresses.callers ?? '');
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), '127.0.0.1', () => socket.write(text));
    const parts: Buffer[] = [];
    socket.on('data', (part) => parts.push(part));
    socket.on('close', () => resolve(Buffer.concat(parts).toString()));
    socket.on('error', reject);
  });
}

function post(headers: string, body: string, key = teamKey('red')): string {
  return (
    `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\n` +
    `connection: close\r\n${headers}\r\n${body}`
  );
}

function postWithLength(body: string, headers = ''): string {
  return post(`content-length: ${Buffer.byteLength(body)}\r\n${headers}`, body);
}

const chat = JSON.stringify({ model, messages: [{ role: 'user', content: 'x' }] });

const cases: readonly (readonly [string, string | Buffer, string])[] = [
  ['malformed JSON', postWithLength('{"model":'), '400 invalidJson'],
  ['a list instead of an object', postWithLength('[]'), '400 invalidJson'],
  [
    'invalid UTF-8',
    Buffer.concat([Buffer.from(post('content-length: 2\r\n', '')), Buffer.from([0xc3, 0x28])]),
    '400 invalidJson',
  ],
  ['a body over the limit', postWithLength(`{"a":"${'x'.repeat(5_000)}"}`), '413 bodyTooLarge'],
  [
    'a chunked body over the limit',
    post('transfer-encoding: chunked\r\n', `1400\r\n${'x'.repeat(0x1400)}\r\n0\r\n\r\n`),
    '413 bodyTooLarge',
  ],
  [
    'headers over the limit',
    postWithLength(chat, `x-long: ${'y'.repeat(4_000)}\r\n`),
    '431 invalidHttp',
  ],
  ['an incomplete body', post('content-length: 500\r\n', '{"model"'), '408 bodyTimeout'],
  [
    'a compressed body',
    postWithLength(chat, 'content-encoding: gzip\r\n'),
    '415 unsupportedEncoding',
  ],
  [
    'two Content-Length headers',
    post('content-length: 3\r\ncontent-length: 5\r\n', '{}   '),
    '400 invalidHttp',
  ],
  [
    'a Content-Length with a chunked body',
    post('content-length: 3\r\ntransfer-encoding: chunked\r\n', '0\r\n\r\n'),
    '400 invalidHttp',
  ],
  ['a negative Content-Length', post('content-length: -1\r\n', ''), '400 invalidHttp'],
  ['bytes that are not HTTP', Buffer.from([0x16, 0x03, 0x01, 0x00, 0xff, 0x0a]), '400 invalidHttp'],
  ['a wrong key', post('content-length: 2\r\n', '{}', 'wrong'), '401 unauthorized'],
  ['an unknown model', postWithLength('{"model":"none","messages":[]}'), '404 unknownModel'],
  ['no messages', postWithLength(`{"model":"${model}","messages":[]}`), '400 invalidRequest'],
  [
    'a message that is null',
    postWithLength(`{"model":"${model}","messages":[null]}`),
    '400 invalidRequest',
  ],
  ['a model that is a number', postWithLength('{"model":7}'), '400 invalidRequest'],
  [
    'a max_tokens of zero',
    postWithLength(
      `{"model":"${model}","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`,
    ),
    '400 invalidRequest',
  ],
  [
    'an invalid deadline',
    postWithLength(chat, 'x-cicadatide-deadline-ms: soon\r\n'),
    '400 invalidRequest',
  ],
  [
    'an unknown priority',
    postWithLength(chat, 'x-cicadatide-priority: none\r\n'),
    '400 invalidRequest',
  ],
  ['an invalid request id', postWithLength(chat, 'x-request-id: ?\r\n'), '400 invalidRequest'],
  ['no target', postWithLength(chat), '503 noTarget'],
  [
    'an unknown path',
    'GET /v2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
    '401 unauthorized',
  ],
];

// Guards against requests that crash the process, hang, or get a response without error code and
// work state.
test.each(cases)('%s is refused with a typed error', async (_name, text, expected) => {
  const response = await sendRaw(text);
  const status = /^HTTP\/1\.1 (\d+)/.exec(response)?.[1];
  const body = JSON.parse(response.slice(response.indexOf('\r\n\r\n') + 4)) as {
    readonly error: { readonly code: string; readonly work: string };
  };
  expect(`${status} ${body.error.code}`).toBe(expected);
  expect(body.error.work).toBe('not-run');
  expect(response.toLowerCase()).toContain('x-cicadatide-work: not-run');
  const health = await fetch(`${entry.addresses.operators}/healthz`);
  expect(health.status).toBe(200);
});
