import { createHash } from 'node:crypto';

/** Text of the tokens: `numbered` by index only, `hashed` with a digest of the prompt. */
export type CompletionStyle = 'numbered' | 'hashed';

/** Token sequence that an engine generates for a prompt; the same on every engine. */
export interface Completion {
  token(index: number): string;
  /** Text of the tokens in [from, to). */
  text(from: number, to: number): string;
}

/**
 * Creates the completion of a prompt. Hashed tokens start with a digest of the prompt, so that a
 * checker detects missing, repeated and reordered tokens and tokens of another prompt's completion.
 */
export function createCompletion(prompt: string, style: CompletionStyle = 'hashed'): Completion {
  const tag =
    style === 'numbered'
      ? 'w'
      : `${createHash('sha256').update(prompt).digest('hex').slice(0, 6)}.`;
  const token = (index: number): string => `${tag}${index} `;
  return {
    token,
    text(from, to) {
      let text = '';
      for (let index = from; index < to; index += 1) text += token(index);
      return text;
    },
  };
}
