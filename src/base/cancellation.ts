import { setMaxListeners } from 'node:events';
import { CancelledError } from './errors.js';
import { type Disposable, toDisposable } from './lifecycle.js';

/** Tells an asynchronous operation that its result is no longer needed. */
export interface CancellationToken {
  readonly isCancellationRequested: boolean;
  /** The same state as an AbortSignal, for libraries that take one. */
  readonly signal: AbortSignal;
  /** Calls the listener once, at once when cancellation was already requested. */
  onCancellationRequested(listener: (reason: string) => void): Disposable;
  throwIfCancelled(): void;
}

/** Creates and cancels one token. Disposing it releases the link to its parent. */
export interface CancellationSource extends Disposable {
  readonly token: CancellationToken;
  cancel(reason?: string): void;
}

/** Creates a source whose token is also cancelled with the parent token. */
export function createCancellationSource(parent?: CancellationToken): CancellationSource {
  const controller = new AbortController();
  // A token of a whole process has one listener for each running operation.
  setMaxListeners(0, controller.signal);
  let reason = 'cancelled';
  const token: CancellationToken = {
    signal: controller.signal,
    get isCancellationRequested() {
      return controller.signal.aborted;
    },
    onCancellationRequested(listener) {
      if (controller.signal.aborted) {
        listener(reason);
        return toDisposable(() => undefined);
      }
      const onAbort = (): void => listener(reason);
      controller.signal.addEventListener('abort', onAbort, { once: true });
      return toDisposable(() => controller.signal.removeEventListener('abort', onAbort));
    },
    throwIfCancelled() {
      if (controller.signal.aborted) throw new CancelledError(reason);
    },
  };
  const cancel = (why = 'cancelled'): void => {
    if (controller.signal.aborted) return;
    reason = why;
    controller.abort(new CancelledError(why));
  };
  const link = parent?.onCancellationRequested(cancel);
  return { token, cancel, dispose: () => link?.dispose() };
}

/** A token that is never cancelled. */
export const noCancellation: CancellationToken = createCancellationSource().token;
