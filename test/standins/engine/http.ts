import { type IncomingMessage, type ServerResponse } from 'node:http';

/** JSON body of a request. */
export type JsonBody = Readonly<Record<string, unknown>>;

export async function readBytes(req: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of req as AsyncIterable<Buffer>) parts.push(part);
  return Buffer.concat(parts);
}

export async function readBody(req: IncomingMessage): Promise<JsonBody> {
  const text = (await readBytes(req)).toString();
  return (text ? JSON.parse(text) : {}) as JsonBody;
}

export function sendJson(res: ServerResponse, value: unknown, status = 200): void {
  res.statusCode = status;
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(value));
}

/** Text of the prompt that the engine tokenizes. */
export function promptOf(body: JsonBody): string {
  if (typeof body['prompt'] === 'string') return body['prompt'];
  const messages = (body['messages'] ?? []) as { role: string; content: string }[];
  return messages.map(({ role, content }) => `${role}\n${content}\n`).join('');
}

/** Formats the events of one completion stream. */
export function completionFormat(kind: 'chat' | 'text') {
  const event = (value: unknown): string => `data: ${JSON.stringify(value)}\n\n`;
  const choice = (content: string, finish: string | null): object =>
    kind === 'chat'
      ? { index: 0, delta: { content }, finish_reason: finish }
      : { index: 0, text: content, finish_reason: finish };
  return {
    text: (content: string): string => event({ choices: [choice(content, null)] }),
    end: (promptTokens: number, cachedTokens: number, outputTokens: number): string =>
      `${event({ choices: [choice('', 'stop')] })}${event({
        choices: [],
        usage: {
          prompt_tokens: promptTokens,
          completion_tokens: outputTokens,
          prompt_tokens_details: { cached_tokens: cachedTokens },
        },
      })}data: [DONE]\n\n`,
  };
}
