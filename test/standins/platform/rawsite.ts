import { request } from 'node:http';
import { type Socket } from 'node:net';
import { type DaemonProcess } from '../../../src/daemon/process.js';
import { type RawRequest, type RawTarget, startRawTarget } from './rawtarget.js';
import { configuration, model, startPlatformSite } from './site.js';

/** Longest body of a caller; more than the buffers of a connection hold. */
const maxBodyBytes = 16_000_000;

export type Respond = (socket: Socket, req: RawRequest) => void;

/** Response as a caller sees it. */
export interface Result {
  readonly status: number;
  readonly body: string;
  /** The response ended as its framing says it must. */
  readonly isComplete: boolean;
}

/** Site with one gateway whose targets write raw bytes. */
export interface RawSite {
  readonly targets: readonly RawTarget[];
  /** Starts a target for each script, and then the gateway. */
  start(service: string, ...scripts: readonly Respond[]): Promise<void>;
  /** The body is empty if absent. */
  send(route: string, body?: Buffer): Promise<Result>;
  close(): Promise<void>;
}

export const head = (
  status: string,
  { requestId }: Pick<RawRequest, 'requestId'>,
  ...more: readonly string[]
): string =>
  [`HTTP/1.1 ${status}`, `X-Request-Id: ${requestId}`, 'X-Server-Stamp: s', ...more, '', ''].join(
    '\r\n',
  );

export const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

export const streamHead = (req: RawRequest): string =>
  head('200 OK', req, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked');

function sendRequest(
  gateway: DaemonProcess,
  route: string,
  requestId: string,
  body?: Buffer,
): Promise<Result> {
  return new Promise((resolve) => {
    const req = request(`${gateway.addresses.callers}/${route}/x`, {
      agent: false,
      method: body ? 'POST' : 'GET',
      headers: {
        Host: 'site.test',
        'X-Request-Id': requestId,
        'X-Deadline-Ms': '1500',
        'X-Api-Key': 'key-a',
        ...((route === 'fit' || route === 'reply') && {
          'X-Model': model,
          'X-Token-Count': '90,40',
          'X-Prompt-Prefix': `aa:50,${requestId}:40`,
        }),
      },
    });
    let status = 0;
    let text = '';
    const finish = (isComplete: boolean): void => resolve({ status, body: text, isComplete });
    req.on('error', () => finish(false));
    req.on('response', (res) => {
      status = res.statusCode ?? 0;
      res.on('data', (bytes: Buffer) => {
        text += bytes.toString();
      });
      res.on('error', () => finish(false));
      res.on('end', () => finish(res.complete));
    });
    req.end(body);
  });
}

/** `readsBodies` is false for targets that respond to the head of a request. */
export async function startRawSite(readsBodies = true): Promise<RawSite> {
  const site = await startPlatformSite();
  const { limits } = configuration(2);
  site.store.put('op', 'config', configuration(2, { limits: { ...limits, maxBodyBytes } }));
  const targets: RawTarget[] = [];
  const started: { gateway?: DaemonProcess } = {};
  let requests = 0;
  return {
    targets,
    async start(service, ...scripts) {
      for (const [index, respond] of scripts.entries()) {
        const target = await startRawTarget(
          service,
          respond,
          service === 'llm' ? model : undefined,
          readsBodies,
        );
        targets.push(target);
        site.store.put('servers', `${service}-${index}`, target.registration);
      }
      started.gateway = await site.startSettledGateway('gw-1');
    },
    send(route, body) {
      if (!started.gateway) throw new Error('call start before send');
      requests += 1;
      return sendRequest(started.gateway, route, `r${requests}`, body);
    },
    async close() {
      await site.close();
      for (const target of targets) await target.close();
    },
  };
}
