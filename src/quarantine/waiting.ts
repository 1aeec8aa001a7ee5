import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type RequestContent } from './content.js';
import { holds, type QuarantineRow } from './row.js';

/** Requests that wait at engines. */
export interface WaitingRequests {
  /** Calls `recall` once if a quarantine holds the content before the request is disposed. */
  track(content: RequestContent, recall: () => void): Disposable;
  /** Recalls the requests that a quarantine holds. */
  recall(row: QuarantineRow): void;
}

export function createWaitingRequests(): WaitingRequests {
  const waiting = new Set<{ readonly content: RequestContent; readonly recall: () => void }>();
  return {
    track(content, recall) {
      const request = { content, recall };
      waiting.add(request);
      return toDisposable(() => waiting.delete(request));
    },
    recall(row) {
      for (const request of [...waiting]) {
        if (!holds(row, request.content)) continue;
        waiting.delete(request);
        request.recall();
      }
    },
  };
}
