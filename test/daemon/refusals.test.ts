import { afterEach, beforeEach, expect, it } from 'vitest';
import { head, type RawSite, type Respond, startRawSite } from '../standins/platform/rawsite.js';

let site: RawSite;

beforeEach(async () => {
  site = await startRawSite();
});

afterEach(() => site.close());

const refusals = [408, 421, 429, 503];

const services = { order: 'desk', look: 'desk', fit: 'llm', reply: 'llm' } as const;

const statusLines: Readonly<Record<number, string>> = {
  408: '408 Request Timeout',
  421: '421 Misdirected Request',
  429: '429 Too Many Requests',
  503: '503 Service Unavailable',
};

const cases = refusals.flatMap((status) =>
  (['order', 'look', 'fit', 'reply'] as const).map((route) => [status, route] as const),
);

// Guards against callers that are told that a request has not run although a target ran it (REFUSED).
it.each(cases)(
  'status %i of a target that ran the request is no refusal (%s)',
  async (status, route) => {
    const respond: Respond = (socket, req) => {
      const isProof = status === 421;
      const lines = isProof ? ['X-Not-Run: 1'] : [];
      socket.write(head(statusLines[status] as string, req, 'Content-Length: 0', ...lines));
    };
    await site.start(services[route], respond, respond);
    const result = await site.send(route);
    expect(refusals.includes(result.status)).toBe(status === 421);
  },
);

it.each(cases)(
  'status %i of a target that turned the request away is one (%s)',
  async (status, route) => {
    const respond: Respond = (socket, req) =>
      socket.write(head(statusLines[status] as string, req, 'X-Not-Run: 1', 'Content-Length: 0'));
    await site.start(services[route], respond, respond);
    expect((await site.send(route)).status).toBe(503);
  },
);
