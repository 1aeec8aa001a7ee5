import { type CompletionKind } from '../../ports/engine.js';
import { type CompletionEvent } from '../../routing/dispatcher.js';

type EndEvent = Extract<CompletionEvent, { readonly kind: 'end' }>;

/** Identity of one answer. */
export interface AnswerHead {
  readonly requestId: string;
  readonly model: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

/** JSON of answers of one kind in the protocol that language-model clients speak. */
export interface AnswerFormat {
  chunk(head: AnswerHead, text: string, finishReason: string | null, first: boolean): object;
  whole(head: AnswerHead, text: string, end: EndEvent): object;
}

/** Usage of a finished answer. */
export function usageOf(end: EndEvent) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}

function headOf(prefix: string, object: string, head: AnswerHead) {
  return { id: `${prefix}-${head.requestId}`, object, created: head.created, model: head.model };
}

/** Formats by kind of completion. */
export const answerFormats: Readonly<Record<CompletionKind, AnswerFormat>> = {
  chat: {
    chunk: (head, text, finishReason, first) => ({
      ...headOf('chatcmpl', 'chat.completion.chunk', head),
      choices: [
        {
          index: 0,
          delta: {
            ...(first && { role: 'assistant' }),
            ...((finishReason === null || text !== '') && { content: text }),
          },
          finish_reason: finishReason,
        },
      ],
    }),
    whole: (head, text, end) => ({
      ...headOf('chatcmpl', 'chat.completion', head),
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: text, refusal: null },
          finish_reason: end.finishReason,
          logprobs: null,
        },
      ],
      usage: usageOf(end),
    }),
  },
  text: {
    chunk: (head, text, finishReason) => ({
      ...headOf('cmpl', 'text_completion', head),
      choices: [{ index: 0, text, finish_reason: finishReason, logprobs: null }],
    }),
    whole: (head, text, end) => ({
      ...headOf('cmpl', 'text_completion', head),
      choices: [{ index: 0, text, finish_reason: end.finishReason, logprobs: null }],
      usage: usageOf(end),
    }),
  },
};
