import { refusalKinds } from '../base/refusals.js';
import { localResponses } from '../gateway/response.js';

const intro = `# Outcomes

A refused or failed request gets a JSON body \`{"error": {"message", "type", "code", "param", "work",
"request_id"}}\` and the headers \`x-request-id\` and \`x-cicadatide-work\`. An error after the first chunk of a
stream is sent as an event of the stream with the same body. This page is made from \`src/base/refusals.ts\` by
\`npm run reference\`; CI compares the two.

The work state says what is known about the work of this request:

- \`not-run\`: it did not run and will not run; sending it again is safe;
- \`completed\`: it ran to its end, but its result is not available;
- \`unknown\`: it may have run. Repeat a non-idempotent call only with the same \`Idempotency-Key\`.

The table shows the usual work state of each code. The state in a response takes precedence: \`deadline\` is
\`unknown\` once a target may have begun, \`noTarget\` is \`unknown\` for a resumed request whose agent does not
answer, and \`storeDown\` and \`outcomeUnknown\` are \`completed\` when only the stored result is missing.
\`not-run\` refers only to the request it is sent for: an earlier request with the same key may have run.

Retry-After is a whole number of seconds, at least 1. Where the table says no, wait for a random delay that
grows with each attempt before you repeat a request as the last column asks.
`;

const gatewayIntro = `
## Responses of a gateway's own

A gateway that rejects or fails a request itself answers \`{"error", "remedy"}\`. With 502 and 504 the request may have
run, with all others it has not run and never will. Retry-After is in seconds and may be fractional. This table is made
from \`src/gateway/response.ts\`.
`;

/** Renders the page of refusal codes in Markdown from the tables of refusals and local responses. */
export function renderOutcomesReference(): string {
  const rows = Object.entries(refusalKinds).map(
    ([code, { status, work, retryAfter, remedy }]) =>
      `| \`${code}\` | ${status} | \`${work}\` | ${retryAfter ? 'yes' : 'no'} | ${remedy} |`,
  );
  const gatewayRows = Object.entries(localResponses).map(
    ([outcome, { status, isRetryable, remedy }]) =>
      `| \`${outcome}\` | ${status} | ${isRetryable ? 'yes' : 'no'} | ${remedy} |`,
  );
  return [
    intro,
    '| code | HTTP status | work state | Retry-After | what the caller does |',
    '|---|---|---|---|---|',
    ...rows,
    '',
    'A request that is not valid HTTP gets the code `invalidHttp`, the work state `not-run` and a closed connection.',
    gatewayIntro,
    '| outcome | HTTP status | Retry-After | remedy |',
    '|---|---|---|---|',
    ...gatewayRows,
    '',
  ].join('\n');
}
