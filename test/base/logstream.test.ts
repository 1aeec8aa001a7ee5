import { closeSync, openSync, readFileSync, rmSync } from 'node:fs';
import { connect, createServer, type Socket } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, it } from 'vitest';
import { createLogStream } from '../../src/base/logstream.js';

it('writes all lines in order before flush resolves', async () => {
  const path = join(tmpdir(), `logstream-${process.pid}.log`);
  const descriptor = openSync(path, 'w');
  const log = createLogStream(descriptor);
  for (let line = 0; line < 500; line += 1) log.stream.write(`line ${line}\n`);
  await log.flush(1_000);
  closeSync(descriptor);
  const lines = readFileSync(path, 'utf8').trimEnd().split('\n');
  rmSync(path);
  expect([lines.length, lines[0], lines.at(-1)]).toEqual([500, 'line 0', 'line 499']);
});

it('drops and counts lines instead of blocking when the reader does not read', async () => {
  const server = createServer({ pauseOnConnect: true });
  const accepted = new Promise<Socket>((resolve) => {
    server.on('connection', resolve);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = connect((server.address() as { port: number }).port, '127.0.0.1');
  await new Promise((resolve) => {
    client.once('connect', resolve);
  });
  const reader = await accepted;
  const { fd } = (client as unknown as { _handle: { fd: number } })._handle;
  const log = createLogStream(fd);
  const startedAt = performance.now();
  for (let line = 0; line < 20_000; line += 1) log.stream.write(`${'x'.repeat(200)}\n`);
  expect(performance.now() - startedAt).toBeLessThan(1_000);
  expect(log.dropped).toBeGreaterThan(0);
  reader.destroy();
  client.destroy();
  server.close();
});

it('writes lines without a flush soon after its delay was shortened', async () => {
  const path = join(tmpdir(), `logstream-short-${process.pid}.log`);
  const descriptor = openSync(path, 'w');
  const log = createLogStream(descriptor);
  log.stream.write('before\n');
  log.shortenDelay();
  log.stream.write('after\n');
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const text = readFileSync(path, 'utf8');
  closeSync(descriptor);
  rmSync(path);
  expect(text).toBe('before\nafter\n');
});
