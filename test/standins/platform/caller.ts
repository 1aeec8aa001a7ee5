import { request } from 'node:http';
import { type DaemonProcess } from '../../../src/daemon/process.js';
import { model } from './site.js';

/** What a caller got, and when it sent its request. */
export interface CallerResult {
  readonly sentAt: number;
  readonly durationMs: number;
  /** 0 when the connection was closed without a response. */
  readonly status: number;
  readonly isComplete: boolean;
  /** Seconds; undefined when the response has no such header. */
  readonly retryAfter: number | undefined;
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Sends a prompt whose last part is its own to a route for streams, on a new connection. */
export function sendPrompt(
  gateway: Pick<DaemonProcess, 'addresses'>,
  requestId: string,
  route = 'fit',
  deadlineMs = 1_500,
  key = 'key-a',
): Promise<CallerResult> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number, isComplete: boolean, retryAfter?: string): void =>
      resolve({
        sentAt,
        durationMs: performance.now() - sentAt,
        status,
        isComplete,
        retryAfter: retryAfter === undefined ? undefined : Number(retryAfter),
      });
    const req = request(`${gateway.addresses.callers}/${route}/x`, {
      agent: false,
      method: 'POST',
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': String(deadlineMs),
        'X-Api-Key': key,
        'X-Model': model,
        'X-Token-Count': '900,40',
        'X-Prompt-Prefix': `aa:500,${requestId}:400`,
      },
    });
    req.on('error', () => finish(0, false));
    req.on('response', (res) => {
      const { statusCode = 0, headers } = res;
      res.on('error', () => finish(statusCode, false, headers['retry-after']));
      res.on('end', () => finish(statusCode, res.complete, headers['retry-after']));
      res.resume();
    });
    req.end('{}');
  });
}

export const gatewayNames = ['gw-1', 'gw-2', 'gw-3'];

/** Sends prompts to the gateways in turn, 40 a second in all; the ids begin with the gateway's name. */
export async function play(
  gateways: readonly DaemonProcess[],
  playMs: number,
): Promise<readonly CallerResult[]> {
  const results: Promise<CallerResult>[] = [];
  const startedAt = performance.now();
  for (let index = 0; performance.now() - startedAt < playMs; index += 1) {
    const turn = index % gateways.length;
    results.push(sendPrompt(gateways[turn] as DaemonProcess, `${gatewayNames[turn]}.${index}`));
    await pause(25);
  }
  return Promise.all(results);
}

/** Name of the gateway to which `play` sent a request. */
export const gatewayOf = (requestId: string): string => requestId.split('.')[0] as string;
