import { refusal, type RefusalError } from '../../base/refusals.js';
import { type CompletionKind } from '../../ports/engine.js';

type Json = Readonly<Record<string, unknown>>;

/** Largest answer that is assumed when the request names none. */
const defaultOutputTokens = 256;

function contentText(content: unknown): string {
  if (typeof content === 'string') return content;
  if (!Array.isArray(content)) return '';
  let text = '';
  for (const part of content as readonly Json[]) {
    if (typeof part?.['text'] === 'string') text += part['text'];
  }
  return text;
}

function chatPrompt(body: Json): string {
  const { messages } = body;
  if (!Array.isArray(messages) || messages.length === 0) {
    throw refusal('invalidRequest', 'messages must be a list with at least one message');
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
    text += `${role}\n${contentText(content)}\n`;
  }
  return text;
}

function textPrompt(body: Json): string {
  const { prompt } = body;
  if (typeof prompt !== 'string') {
    throw refusal('invalidRequest', 'prompt must be a string');
  }
  return prompt;
}

const promptReaders: Readonly<Record<CompletionKind, (body: Json) => string>> = {
  chat: chatPrompt,
  text: textPrompt,
};

/** Returns the text whose blocks are hashed; throws RefusalError when it is not valid. */
export function readPrompt(kind: CompletionKind, body: Json): string {
  return promptReaders[kind](body);
}

/** Returns the requested upper bound of the answer's length in tokens. */
export function readOutputTokens(body: Json): number {
  const given = body['max_completion_tokens'] ?? body['max_tokens'];
  if (given === undefined || given === null) return defaultOutputTokens;
  if (typeof given !== 'number' || !Number.isInteger(given) || given < 1) {
    throw refusal('invalidRequest', 'max_tokens must be a whole number above 0');
  }
  return given;
}
