import { describe, expect, it } from 'vitest';
import { headerProtocol } from '../../platform/headers.js';

const dispatch = { waitMs: 812.7, targetId: 'i-1', team: 'team-a' };

const namesOf = (headers: readonly string[]): readonly string[] =>
  headers.filter((_text, index) => index % 2 === 0);

describe('headers sent to a target', () => {
  it('omit hop-by-hop headers and headers that only the system may set', () => {
    const raw = [
      ['Host', 'site.test'],
      ['Connection', 'close, X-Private'],
      ['X-Private', '1'],
      ['Transfer-Encoding', 'chunked'],
      ['x-tenant', 'forged'],
      ['X-Api-Key', 'secret'],
      ['X-Hold', 'h'],
      ['X-Pin-Ms', '9'],
      ['X-Kv-Source', '10.0.0.9:1'],
      ['Kv-From', '10.0.0.9:1/x'],
      ['X-Request-Priority', '0'],
      ['X-Deadline-Ms', '99999'],
      ['X-Request-Id', 'r-1'],
      ['X-Other', 'kept'],
    ].flat();
    expect(headerProtocol.toTarget(raw, dispatch, 5)).toEqual([
      'Host',
      'site.test',
      'X-Request-Id',
      'r-1',
      'X-Other',
      'kept',
      'X-Deadline-Ms',
      '812',
      'X-Expect-Instance',
      'i-1',
      'X-Tenant',
      'team-a',
      'Content-Length',
      '5',
    ]);
  });

  it("replace the caller's last event id only when the gateway resumes a stream", () => {
    const raw = ['Last-Event-Id', '3'];
    expect(namesOf(headerProtocol.toTarget(raw, dispatch, 0))).toContain('Last-Event-Id');
    const resumed = headerProtocol.toTarget(raw, { ...dispatch, resumeAfter: '7' }, 0);
    expect(resumed.slice(-2)).toEqual(['Last-Event-Id', '7']);
    expect(resumed).not.toContain('3');
  });
});

describe('headers of callers', () => {
  it('are decoded', () => {
    const head = headerProtocol.readCaller({
      'x-request-id': 'r-1',
      'x-deadline-ms': '4000',
      'x-model': 'm',
      'x-token-count': '1460,80',
      'x-prompt-prefix': '5c1e:800,91bd:410,e440:250',
    });
    expect(head).toMatchSnapshot();
  });

  it.each([['5c1e'], ['5c1e:x'], [':4'], ['a:1,,b:2']])(
    'yield no prompt parts for the invalid list %j',
    (value) => {
      expect(headerProtocol.readCaller({ 'x-prompt-prefix': value }).parts).toEqual([]);
    },
  );

  it('yield no wait time when the deadline is not a number', () => {
    expect(headerProtocol.readCaller({ 'x-deadline-ms': '-4' }).waitMs).toBeUndefined();
  });
});

describe('headers of targets', () => {
  it('are decoded', () => {
    const head = headerProtocol.readTarget({
      'x-request-id': 'r-1',
      'x-server-stamp': 's',
      'x-load': '3,1,8,250',
      'x-weight-versions': '4',
      'x-instance': 'i-1',
    });
    expect(head).toMatchSnapshot();
  });

  it('tell what the target asks for', () => {
    const head = headerProtocol.readTarget({
      'server-limit': '1.2',
      'server-leaving': '1',
      'retry-after': '0.5',
    });
    expect([head.limitPerSecond, head.isLeaving, head.retryAfterMs]).toEqual([1.2, true, 500]);
  });

  it.each(['', 'soon', '-1', '1.2, 1.3', '1e9', 'Infinity', 'Sat, 05 Dec 2026 09:00:00 GMT'])(
    'tell nothing that the gateway uses by the figure %j',
    (figure) => {
      const headers = { 'server-limit': figure, 'server-leaving': figure, 'retry-after': figure };
      const head = headerProtocol.readTarget(headers);
      expect([head.limitPerSecond, head.isLeaving, head.retryAfterMs]).toEqual([
        Number.NaN,
        false,
        undefined,
      ]);
    },
  );

  it('yield no load when a figure is missing or is not a number', () => {
    expect(headerProtocol.readTarget({ 'x-load': '3,1' }).load).toBeUndefined();
    expect(headerProtocol.readTarget({ 'x-load': '3,x,8' }).load).toBeUndefined();
  });
});

it('responses of the gateway state the retry delay in seconds', () => {
  expect(headerProtocol.localResponse('r-1', 1_250)).toEqual([
    'X-Request-Id',
    'r-1',
    'Retry-After',
    '1.25',
  ]);
});
