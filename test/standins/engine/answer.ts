import { createHash } from 'node:crypto';

/** How a stand-in engine words its answers. */
export type AnswerStyle = 'numbered' | 'hashed';

/** Word sequence that an engine produces for one prompt; the same on every engine. */
export interface Answer {
  word(index: number): string;
  /** Text of the words in [from, to). */
  text(from: number, to: number): string;
}

/**
 * Builds the answer to a prompt. Hashed words start with a digest of the prompt, so a checker
 * finds missing, repeated and swapped words and words of another request's answer.
 */
export function createAnswer(prompt: string, style: AnswerStyle = 'hashed'): Answer {
  const tag =
    style === 'numbered'
      ? 'w'
      : `${createHash('sha256').update(prompt).digest('hex').slice(0, 6)}.`;
  const word = (index: number): string => `${tag}${index} `;
  return {
    word,
    text(from, to) {
      let text = '';
      for (let index = from; index < to; index += 1) text += word(index);
      return text;
    },
  };
}
