// Configuration of the small deployment that the scripts play, and their record.
import { writeFile } from 'node:fs/promises';
import { request } from 'node:http';
import { model } from './engine.mjs';

const route = (name, kind, service, overrides = {}) => ({
  name,
  host: 'site.test',
  prefix: `/${name}/`,
  kind,
  timeoutMs: 12_000,
  sloMs: 600,
  priority: 1,
  service,
  attempts: 1,
  public: false,
  ...overrides,
});

/** Routes and figures follow the sheet of Lučka in SYSTEM.md. */
export const configuration = (version, changes = {}) => ({
  version,
  routes: [
    route('fit', 'streaming', 'llm', {
      sloMs: 400,
      timeoutMs: 4_000,
      attempts: 2,
      resumable: true,
      gapSloMs: 300,
      sticky: true,
    }),
    route('reply', 'streaming', 'llm', {
      priority: 0,
      resumable: false,
      gapSloMs: 300,
      sticky: true,
    }),
    route('reserve', 'unsafe', 'desk', { priority: 2, sloMs: 150, timeoutMs: 800 }),
    route('look', 'safe', 'desk', { priority: 2, sloMs: 150, timeoutMs: 800, attempts: 2 }),
  ],
  services: [
    {
      name: 'llm',
      healthPath: '/health',
      maxConns: 370,
      engine: {
        slots: 64,
        kvCapacity: 117_426,
        kvTokenBytes: 18_432,
        linkMbps: 130_000,
        models: [{ name: model }],
      },
    },
    { name: 'desk', healthPath: '/health', maxConns: 110 },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [
    { name: 'team-a', apiKeys: ['key-a'], isolated: false },
    { name: 'team-b', apiKeys: ['key-b'], isolated: false },
  ],
  ...changes,
});

/** Writes what was sent, answered and run to `record.txt` beside the script. */
export function createRecord(path) {
  const startedAt = performance.now();
  const lines = [];
  return {
    lines,
    add(what, fields = {}) {
      const ms = Math.round(performance.now() - startedAt);
      lines.push({ ms, what, ...fields });
    },
    note(text) {
      lines.push({ ms: Math.round(performance.now() - startedAt), what: 'note', text });
    },
    write() {
      return writeFile(path, `${lines.map((line) => JSON.stringify(line)).join('\n')}\n`);
    },
  };
}

/** Sends one request; resolves with what the client got. */
export function send(
  gateway,
  { id, path, method = 'POST', headers = {}, body = '{}', deadlineMs = 12_000, agent = false },
) {
  return new Promise((resolve) => {
    const [host, port] = gateway.front.split(':');
    const chunks = [];
    let status = 0;
    let answer = {};
    const finish = (isComplete) =>
      resolve({
        id,
        status,
        isComplete,
        headers: answer,
        body: Buffer.concat(chunks).toString('utf8'),
      });
    const req = request({
      host,
      port,
      method,
      path,
      agent,
      headers: {
        Host: 'site.test',
        'X-Request-Id': id,
        'X-Deadline-Ms': String(deadlineMs),
        'X-Api-Key': 'key-a',
        ...headers,
      },
    });
    const timer = setTimeout(() => req.destroy(new Error('deadline')), deadlineMs);
    req.on('error', () => {
      clearTimeout(timer);
      finish(false);
    });
    req.on('response', (res) => {
      status = res.statusCode;
      answer = res.headers;
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => undefined);
      res.on('close', () => {
        clearTimeout(timer);
        finish(res.complete);
      });
    });
    req.end(method === 'GET' ? undefined : body);
  });
}

/** Sends a prompt on a route for streams. */
export const sendPrompt = (
  gateway,
  id,
  { route: name = 'reply', outputs = 100, prompt = 600 } = {},
) =>
  send(gateway, {
    id,
    path: `/${name}/x`,
    headers: {
      'X-Model': model,
      'X-Token-Count': `${prompt},${outputs}`,
      'X-Prompt-Prefix': `aa11:200,${id}:${prompt - 200}`,
    },
  });
