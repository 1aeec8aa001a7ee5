import { type Deadline } from '../base/deadline.js';
import { type CompletionKind } from '../ports/engine.js';
import { hashBlocks } from './blocks.js';

/** A validated completion request of one team. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly team: string;
  /** Separates the cache entries of this team. */
  readonly salt: string;
  readonly kind: CompletionKind;
  readonly model: string;
  readonly adapter: string;
  /** Engine request body as JSON, without stream options. */
  readonly body: Uint8Array;
  readonly promptText: string;
  readonly promptTokens: number;
  /** Upper bound of the response length in tokens. */
  readonly outputTokens: number;
  readonly priority: number;
  readonly deadline: Deadline;
  /**
   * False when a second run would have lasting effects. Such a request is neither hedged nor
   * probed, and it is retried only when no earlier attempt can have run.
   */
  readonly isIdempotent?: boolean;
  /** Block hashes for one weights version; computed once per version. */
  blockHashes(weightsVersion: string): readonly bigint[];
}

/** Adds the memoised block hashes to the fields of a request. */
export function createCompletionRequest(
  fields: Omit<CompletionRequest, 'blockHashes'>,
): CompletionRequest {
  const chains = new Map<string, readonly bigint[]>();
  return {
    ...fields,
    blockHashes(weightsVersion) {
      const cached = chains.get(weightsVersion);
      if (cached) return cached;
      const seed = {
        salt: fields.salt,
        model: fields.model,
        adapter: fields.adapter,
        weightsVersion,
      };
      const hashes = hashBlocks(seed, fields.promptText);
      chains.set(weightsVersion, hashes);
      return hashes;
    },
  };
}
