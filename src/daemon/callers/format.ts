import { type CompletionKind } from '../../ports/engine.js';
import { type CompletionEvent } from '../../routing/dispatcher.js';

type EndEvent = Extract<CompletionEvent, { readonly kind: 'end' }>;

/** Fields that all chunks of a completion response share. */
export interface CompletionMetadata {
  readonly requestId: string;
  readonly model: string;
  /** Seconds since the epoch. */
  readonly created: number;
}

/** Builds response JSON of one completion kind in the format that language-model clients expect. */
export interface CompletionFormat {
  chunk(
    metadata: CompletionMetadata,
    text: string,
    finishReason: string | null,
    isFirst: boolean,
  ): object;
  completion(metadata: CompletionMetadata, text: string, end: EndEvent): object;
}

/** Returns the token usage of a finished response, as in the `usage` field of its JSON. */
export function usageOf(end: EndEvent) {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens,
    prompt_tokens_details: { cached_tokens: end.cachedTokens },
  };
}

function commonFields(prefix: string, object: string, metadata: CompletionMetadata) {
  return {
    id: `${prefix}-${metadata.requestId}`,
    object,
    created: metadata.created,
    model: metadata.model,
  };
}

export const completionFormats: Readonly<Record<CompletionKind, CompletionFormat>> = {
  chat: {
    chunk: (metadata, text, finishReason, isFirst) => ({
      ...commonFields('chatcmpl', 'chat.completion.chunk', metadata),
      choices: [
        {
          index: 0,
          delta: {
            ...(isFirst && { role: 'assistant' }),
            ...((finishReason === null || text !== '') && { content: text }),
          },
          finish_reason: finishReason,
        },
      ],
    }),
    completion: (metadata, text, end) => ({
      ...commonFields('chatcmpl', 'chat.completion', metadata),
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
    chunk: (metadata, text, finishReason) => ({
      ...commonFields('cmpl', 'text_completion', metadata),
      choices: [{ index: 0, text, finish_reason: finishReason, logprobs: null }],
    }),
    completion: (metadata, text, end) => ({
      ...commonFields('cmpl', 'text_completion', metadata),
      choices: [{ index: 0, text, finish_reason: end.finishReason, logprobs: null }],
      usage: usageOf(end),
    }),
  },
};
