import { Agent, request } from 'undici';
import { teamKey } from '../../test/standins/site.js';
import { parameters } from '../parameters.js';
import { readStream, type StreamedResponse } from './stream.js';
import { type ScheduledCall, type ScheduledRequest, type Workload } from './workload.js';

/** Outcome of one scheduled request as observed by its caller. */
export interface RequestOutcome {
  readonly request: ScheduledRequest;
  /** HTTP status, or 0 without a response. */
  readonly status: number;
  /** Work state from the response headers or an error event; empty if there was none. */
  readonly work: string;
  readonly response: StreamedResponse | undefined;
  /** Milliseconds from the scheduled arrival to the end. */
  readonly totalMs: number;
}

/** Outcome of one service call. */
export interface CallOutcome {
  readonly call: ScheduledCall;
  readonly status: number;
  readonly work: string;
}

/** Outcomes of a whole run. */
export interface LoadOutcome {
  readonly requests: readonly RequestOutcome[];
  readonly calls: readonly CallOutcome[];
}

/** Sends load to entries; a failed call resolves to an outcome instead of rejecting. */
export interface LoadGenerator {
  /** Sends one request now; its scheduled arrival is relative to `startedAt`. */
  send(scheduled: ScheduledRequest, startedAt: number): Promise<RequestOutcome>;
  /** Sends each request at its scheduled time and waits for all outcomes. */
  run(workload: Workload, onStart: (startedAt: number) => void): Promise<LoadOutcome>;
  close(): Promise<void>;
}

const workHeader = 'x-cicadatide-work';

/** Delay before the next attempt after every entry has refused the connection. */
const reconnectDelayMs = 50;

const connectionRefusedCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });

/**
 * Creates an open-loop generator: arrivals follow the schedule regardless of response times, and
 * latencies are measured from the scheduled arrival. Requests go to the entries round-robin, as
 * behind a load balancer; an entry that refuses the connection is skipped. Extra body fields make
 * it possible to call an engine directly.
 */
export function createLoadGenerator(
  entries: readonly string[],
  extraFields: (scheduled: ScheduledRequest) => object = () => ({}),
): LoadGenerator {
  const dispatcher = new Agent({
    connections: 1_024,
    pipelining: 1,
    connect: { timeout: 1_000 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let nextEntry = 0;

  const post = async (
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string,
    timeoutMs: number,
  ) => {
    const signal = AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs)));
    for (let attempt = 1; ; attempt += 1) {
      const url = `${entries[nextEntry % entries.length]}${path}`;
      nextEntry += 1;
      try {
        return await request(url, { method: 'POST', dispatcher, headers, body, signal });
      } catch (err) {
        const { code = '' } = err as { readonly code?: string };
        if (signal.aborted || !connectionRefusedCodes.has(code)) return undefined;
        if (attempt % entries.length === 0) await pause(reconnectDelayMs);
      }
    }
  };

  const sendRequest = async (
    scheduled: ScheduledRequest,
    startedAt: number,
  ): Promise<RequestOutcome> => {
    const sinceArrivalMs = (): number => performance.now() - startedAt - scheduled.atMs;
    const { deadlineMs } = scheduled;
    const headers = {
      authorization: `Bearer ${teamKey(scheduled.team)}`,
      'content-type': 'application/json',
      'x-request-id': scheduled.id,
      'x-cicadatide-deadline-ms': String(deadlineMs),
    };
    const body = JSON.stringify({
      model: parameters.model,
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: scheduled.outputTokens,
      ...extraFields(scheduled),
      messages: [
        { role: 'system', content: scheduled.system },
        { role: 'user', content: scheduled.user },
      ],
    });
    const timeoutMs = deadlineMs + parameters.abortGraceMs - sinceArrivalMs();
    const res = await post('/v1/chat/completions', headers, body, timeoutMs);
    const outcome = { request: scheduled, response: undefined, work: '' };
    if (!res) return { ...outcome, status: 0, totalMs: sinceArrivalMs() };
    const work = String(res.headers[workHeader] ?? '');
    if (res.statusCode !== 200) {
      await res.body.dump().catch(() => undefined);
      return { ...outcome, status: res.statusCode, work, totalMs: sinceArrivalMs() };
    }
    const response = await readStream(res.body, sinceArrivalMs);
    const totalMs = sinceArrivalMs();
    return {
      ...outcome,
      status: 200,
      work: response.errorWork ?? work,
      response,
      totalMs,
    };
  };

  const sendCall = async (call: ScheduledCall): Promise<CallOutcome> => {
    const headers = {
      authorization: `Bearer ${teamKey(call.team)}`,
      'idempotency-key': call.key,
      'x-cicadatide-deadline-ms': '2000',
    };
    const res = await post('/services/desk/orders', headers, call.key, 2_500);
    if (!res) return { call, status: 0, work: '' };
    await res.body.dump().catch(() => undefined);
    return { call, status: res.statusCode, work: String(res.headers[workHeader] ?? '') };
  };

  return {
    send: sendRequest,
    async run(workload, onStart) {
      const startedAt = performance.now();
      onStart(startedAt);
      const sendAt = async <T>(atMs: number, send: () => Promise<T>): Promise<T> => {
        await pause(startedAt + atMs - performance.now());
        return send();
      };
      const requests = workload.requests.map((scheduled) =>
        sendAt(scheduled.atMs, () => sendRequest(scheduled, startedAt)),
      );
      const calls = workload.calls.map((call) => sendAt(call.atMs, () => sendCall(call)));
      return { requests: await Promise.all(requests), calls: await Promise.all(calls) };
    },
    close: () => dispatcher.destroy(),
  };
}
