import { createParser } from 'eventsource-parser';

/** Content and timing of one streamed response as received by a caller. */
export interface StreamedResponse {
  readonly text: string;
  readonly tokens: number;
  /** Time of the first token by the clock passed to `readStream`; undefined without a token. */
  readonly firstTokenMs: number | undefined;
  /** Intervals between consecutive events that contain text. */
  readonly gapsMs: readonly number[];
  /** True when the stream ended with its terminal event. */
  readonly done: boolean;
  /** Work state of an error event, or undefined without one. */
  readonly errorWork: string | undefined;
  readonly cachedTokens: number;
  /** False when reading or parsing the stream failed before its end. */
  readonly endedCleanly: boolean;
}

interface CompletionChunk {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[];
  readonly usage?: { readonly prompt_tokens_details?: { readonly cached_tokens?: number } } | null;
  readonly error?: { readonly work?: string };
}

/** Reads the event stream of a chat completion; read and parse errors do not reject. */
export async function readStream(
  body: AsyncIterable<Uint8Array>,
  sinceStartMs: () => number,
): Promise<StreamedResponse> {
  const decoder = new TextDecoder();
  const gapsMs: number[] = [];
  let text = '';
  let tokens = 0;
  let firstTokenMs: number | undefined;
  let lastMs = 0;
  let done = false;
  let errorWork: string | undefined;
  let cachedTokens = 0;
  let endedCleanly = true;

  let nowMs = 0;

  const readEvent = (data: string): void => {
    if (data === '[DONE]') {
      done = true;
      return;
    }
    const chunk = JSON.parse(data) as CompletionChunk;
    if (chunk.error) errorWork = chunk.error.work ?? 'unknown';
    cachedTokens = chunk.usage?.prompt_tokens_details?.cached_tokens ?? cachedTokens;
    const content = chunk.choices?.[0]?.delta?.content ?? '';
    if (content === '') return;
    text += content;
    tokens += content.split(' ').length - 1;
    if (firstTokenMs === undefined) firstTokenMs = nowMs;
    else gapsMs.push(nowMs - lastMs);
    lastMs = nowMs;
  };

  try {
    const parser = createParser({ onEvent: ({ data }) => readEvent(data) });
    for await (const bytes of body) {
      nowMs = sinceStartMs();
      parser.feed(decoder.decode(bytes, { stream: true }));
    }
  } catch {
    endedCleanly = false;
  }
  return { text, tokens, firstTokenMs, gapsMs, done, errorWork, cachedTokens, endedCleanly };
}
