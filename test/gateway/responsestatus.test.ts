import { expect, it } from 'vitest';
import { meaningOf } from '../../src/gateway/responsestatus.js';

const statuses = [200, 204, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504];

const describeMeaning = (status: number, isNotRun: boolean, isSigned: boolean): string => {
  const meaning = meaningOf(status, { isNotRun, isSigned });
  if (meaning.kind === 'not-run') return `not run, ${meaning.cause}`;
  if (meaning.kind === 'success') return 'success';
  return meaning.isForwardable ? 'may have run, forwarded' : 'may have run, not forwarded';
};

it('takes a request for not run only if the target says so', () => {
  const rows = statuses.map(
    (status) =>
      `${status}: ${describeMeaning(status, false, true)}; marked: ${describeMeaning(status, true, true)}`,
  );
  expect(rows).toMatchInlineSnapshot(`
    [
      "200: success; marked: success",
      "204: success; marked: success",
      "302: may have run, forwarded; marked: may have run, forwarded",
      "400: may have run, forwarded; marked: not run, misdirected",
      "404: may have run, forwarded; marked: may have run, forwarded",
      "408: may have run, not forwarded; marked: not run, full",
      "421: not run, misdirected; marked: not run, misdirected",
      "429: may have run, not forwarded; marked: not run, full",
      "500: may have run, forwarded; marked: may have run, forwarded",
      "502: may have run, forwarded; marked: may have run, forwarded",
      "503: may have run, not forwarded; marked: not run, full",
      "504: may have run, forwarded; marked: may have run, forwarded",
    ]
  `);
});

it('forwards nothing that is not signed', () => {
  const meanings = statuses.map((status) => describeMeaning(status, false, false));
  expect(new Set(meanings)).toEqual(
    new Set(['may have run, not forwarded', 'not run, misdirected']),
  );
});
