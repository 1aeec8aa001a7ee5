import { Code, ConnectError, createClient, type Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { createPeerConnector } from '../../src/adapters/connect/connector.js';
import { hashKey } from '../../src/configuration/replica.js';
import { type DaemonProcess } from '../../src/daemon/process.js';
import { AgentService } from '../../src/gen/cicadatide/v1/agent_pb.js';
import { PeerService } from '../../src/gen/cicadatide/v1/peer_pb.js';
import { type StandInEngine, startEngine } from '../standins/engine.js';
import {
  record,
  siteCredential,
  siteRecords,
  startSiteAgent,
  startSiteEntry,
  teamKey,
  waitForRoute,
  waitUntil,
} from '../standins/site.js';

const model = 'test-model';
const operatorToken = 'token-of-an-operator';
let engine: StandInEngine;
let agent: DaemonProcess;
let entry: DaemonProcess;

beforeAll(async () => {
  engine = await startEngine({ model, decodeTokensPerSecond: 20 });
  agent = await startSiteAgent({ name: 'engine-1', url: engine.url });
  const { records } = siteRecords(['red', 'blue'], [model], []);
  const tokenHash = hashKey(operatorToken);
  const operator = record('operator', { name: 'ann', role: 'admin', tokenHash } as never);
  const configuration = { revision: 1, records: [...records, operator] };
  const agents = [agent.addresses.internal];
  entry = await startSiteEntry({ name: 'entry-1', agents, configuration });
  const body = { model, prompt: 'x', max_tokens: 1 };
  await waitForRoute(entry.addresses.callers ?? '', 'red', '/v1/completions', body);
});

afterAll(async () => {
  entry.stop();
  agent.stop();
  await engine.close();
});

const serviceAddresses = {
  [AgentService.typeName]: () => agent.addresses.internal,
  [PeerService.typeName]: () => entry.addresses.internal,
};

const credentials: readonly (readonly [string, string | undefined])[] = [
  ['no credential', undefined],
  ['an empty credential', ''],
  ['a wrong credential of the right length', 'x'.repeat(siteCredential.length)],
  ['a prefix of the credential', siteCredential.slice(0, -1)],
  ['the key of a team', teamKey('red')],
  ['the token of an operator', operatorToken],
];

function openTransport(baseUrl: string, credential: string | undefined): Transport {
  return createConnectTransport({
    baseUrl,
    httpVersion: '2',
    interceptors: [
      (next) => (req) => {
        if (credential !== undefined) req.header.set('x-cicadatide-credential', credential);
        return next(req);
      },
    ],
  });
}

async function codeOf(call: () => Promise<unknown>): Promise<string> {
  try {
    await call();
    return 'answered';
  } catch (err) {
    return Code[ConnectError.from(err).code];
  }
}

async function* emptyRequest() {
  // An empty request stream.
}

type Invoke = (input: unknown, options: { timeoutMs: number }) => unknown;

// The methods come from the descriptors, so that a method added later is tested too.
const methods = [AgentService, PeerService].flatMap((service) =>
  service.methods.map((method) => ({ service, method, name: `${service.name}.${method.name}` })),
);

// Guards against a method that accepts calls of a process without the internal credential.
test.each(methods)('$name refuses calls without the credential', async ({ service, method }) => {
  const address = serviceAddresses[service.typeName]?.() ?? '';
  const codes: Record<string, string> = {};
  for (const [name, credential] of credentials) {
    const client = createClient(service, openTransport(address, credential));
    const invoke = (client as unknown as Record<string, Invoke>)[method.localName] as Invoke;
    codes[name] = await codeOf(async () => {
      const input = method.methodKind === 'bidi_streaming' ? emptyRequest() : {};
      const reply = invoke(input, { timeoutMs: 2_000 });
      if (method.methodKind === 'unary') return reply;
      for await (const part of reply as AsyncIterable<unknown>) return part;
      return undefined;
    });
  }
  const expected = credentials.map(([name]) => [name, 'Unauthenticated']);
  expect(codes).toEqual(Object.fromEntries(expected));
});

const listeners: readonly (readonly [string, string | undefined, number, number])[] = [
  ['no key', undefined, 401, 401],
  ['a team key', teamKey('red'), 200, 401],
  ['an operator token', operatorToken, 401, 200],
  ['the internal credential', siteCredential, 401, 401],
  ['the hash of a team key', hashKey(teamKey('red')), 401, 401],
  ['the hash of an operator token', hashKey(operatorToken), 401, 401],
];

// Guards against a team key that is accepted as an operator token, and the reverse.
test.each(listeners)(
  'access with %s is limited to the matching listener',
  async (_name, key, callers, operators) => {
    const headers = key === undefined ? undefined : { authorization: `Bearer ${key}` };
    const statusOf = async (url: string): Promise<number> => {
      const res = await fetch(url, { ...(headers && { headers }) });
      await res.arrayBuffer();
      return res.status;
    };
    expect(await statusOf(`${entry.addresses.callers}/v1/models`)).toBe(callers);
    for (const path of ['status', 'audit', 'unknown']) {
      expect(await statusOf(`${entry.addresses.operators}/v1/${path}`)).toBe(operators);
    }
  },
);

// Guards against a request id that lets another team see or cancel the request.
test('resume and cancel treat the request of another team as unknown', async () => {
  const connection = createPeerConnector(siteCredential).agent(agent.addresses.internal);
  const before = engine.runs.length;
  const res = await fetch(`${entry.addresses.callers}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${teamKey('red')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, prompt: 'tide', max_tokens: 20, stream: true }),
  });
  await waitUntil(() => engine.runs.length > before);
  const [requestId = '', attempt = '1'] = (engine.runs.at(-1)?.id ?? '').split('/');
  const resumeAndCancel = async (id: string) => {
    const fields = { requestId: id, attempt: Number(attempt), team: 'blue' };
    const resumed = connection.client.resume({ ...fields, afterSeq: 0 });
    const failure = await (async () => {
      for await (const chunk of resumed) return chunk;
      return undefined;
    })().catch((err: unknown) => ConnectError.from(err).message);
    const { found } = await connection.client.cancel(fields);
    return { failure, found };
  };
  const foreignResult = await resumeAndCancel(requestId);
  expect(foreignResult).toEqual(await resumeAndCancel('no-such-request'));
  expect(foreignResult).toEqual({ failure: '[not_found] no such request', found: false });
  expect(await res.text()).toContain('[DONE]');
  expect(engine.runs.at(-1)?.outcome).toBe('completed');
  connection.dispose();
});
