import { createHash } from 'node:crypto';
import { type PromptPart } from '../ports/wire.js';
import { sharedPartIds } from './parts.js';

/** What a request holds that may crash engines. */
export interface RequestContent {
  /** Ids of the prompt parts that other requests may share. */
  readonly partIds: readonly string[];
  /**
   * Id of the whole content: the same for each repeat of the request by its callers, who give each of
   * them a new request id. Computed on first use, because it takes a pass over the body.
   */
  readonly id: string;
}

export interface ContentSource {
  readonly service: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly parts: readonly PromptPart[];
  readonly body: Buffer | undefined;
}

/** A prompt part can't have an id with this prefix: commas separate the parts in their header. */
const contentPrefix = 'content,';

/** Bytes of the hash in an id; enough that no caller finds two contents with the same id. */
const hashBytes = 16;

export const isContentId = (id: string): boolean => id.startsWith(contentPrefix);

function contentId({ service, method, path, parts, body }: ContentSource): string {
  const head = JSON.stringify([service, method, path, parts.map(({ id }) => id)]);
  const hash = createHash('sha256').update(head);
  if (body) hash.update(body);
  return contentPrefix + hash.digest('hex').slice(0, 2 * hashBytes);
}

export function createRequestContent(source: ContentSource): RequestContent {
  const partIds = sharedPartIds(source.parts);
  let id: string | undefined;
  return {
    partIds,
    get id() {
      id ??= contentId(source);
      return id;
    },
  };
}

/** All ids under which crashes are recorded. */
export const idsOf = ({ partIds, id }: RequestContent): readonly string[] => [...partIds, id];
