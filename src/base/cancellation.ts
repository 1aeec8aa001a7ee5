import { setMaxListeners } from 'node:events';
import { CancelledError } from './errors.js';
import { type Disposable, toDisposable } from './lifecycle.js';

/** Signals an asynchronous operation that its result is no longer needed. */
export interface CancellationToken {
  readonly isCancellationRequested: boolean;
  /** The same state as an AbortSignal, for libraries that take one. */
  readonly signal: AbortSignal;
  /** Calls the listener once; immediately if cancellation was already requested. */
  onCancellationRequested(listener: (reason: string) => void): Disposable;
  throwIfCancelled(): void;
}

/** Owner of one token. Disposing it unsubscribes from the parent token. */
export interface CancellationSource extends Disposable {
  readonly token: CancellationToken;
  cancel(reason?: string): void;
}

/** Creates a source whose token is also cancelled with the parent token. */
export function createCancellationSource(parent?: CancellationToken): CancellationSource {
  const controller = new AbortController();
  // A long-lived token has one listener per running operation, which may exceed the default limit.
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
  const parentSubscription = parent?.onCancellationRequested(cancel);
  return { token, cancel, dispose: () => parentSubscription?.dispose() };
}

/** A token that is never cancelled. */
export const noCancellation: CancellationToken = createCancellationSource().token;
