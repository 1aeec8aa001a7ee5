import { refusal, type RefusalError } from '../../base/refusals.js';
import { type CompletionKind } from '../../ports/engine.js';

type Json = Readonly<Record<string, unknown>>;

/** Maximum output length that is assumed when the request sets none. */
const defaultOutputTokens = 256;

function contentTextOf(content: unknown): string {
  if (typeof content === 'string') return content;
  if (!Array.isArray(content)) return '';
  let text = '';
  for (const part of content as readonly Json[]) {
    if (typeof part?.['text'] === 'string') text += part['text'];
  }
  return text;
}

function readChatPrompt(body: Json): string {
  const { messages } = body;
  if (!Array.isArray(messages) || messages.length === 0) {
    throw refusal('invalidRequest', 'messages must be an array with at least one message');
  }
  let text = '';
  for (const message of messages as readonly unknown[]) {
    if (typeof message !== 'object' || message === null) {
      throw refusal('invalidRequest', 'each message must be an object');
    }
    const { role, content } = message as Json;
    if (typeof role !== 'string') {
      throw refusal('invalidRequest', 'each message needs a role');
    }
    text += `${role}\n${contentTextOf(content)}\n`;
  }
  return text;
}

function readTextPrompt(body: Json): string {
  const { prompt } = body;
  if (typeof prompt !== 'string') {
    throw refusal('invalidRequest', 'prompt must be a string');
  }
  return prompt;
}

const promptReaders: Readonly<Record<CompletionKind, (body: Json) => string>> = {
  chat: readChatPrompt,
  text: readTextPrompt,
};

/** Returns the prompt text whose blocks are hashed; throws RefusalError for an invalid prompt. */
export function readPrompt(kind: CompletionKind, body: Json): string {
  return promptReaders[kind](body);
}

/** Returns the maximum output length in tokens that the request sets, or a default. */
export function readOutputTokens(body: Json): number {
  const limit = body['max_completion_tokens'] ?? body['max_tokens'];
  if (limit === undefined || limit === null) return defaultOutputTokens;
  if (typeof limit !== 'number' || !Number.isInteger(limit) || limit < 1) {
    throw refusal('invalidRequest', 'max_tokens must be a whole number above 0');
  }
  return limit;
}
