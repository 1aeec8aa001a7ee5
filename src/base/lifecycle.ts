/** A resource that is released exactly once. */
export interface Disposable {
  dispose(): void;
}

/** Owns disposables and releases them in reverse order of registration. */
export interface DisposableStore extends Disposable {
  readonly isDisposed: boolean;
  /** Registers a disposable; after the store was disposed, it is released immediately. */
  add<T extends Disposable>(disposable: T): T;
}

/** Creates a disposable that calls the function at most once. */
export function toDisposable(release: () => void): Disposable {
  let done = false;
  return {
    dispose() {
      if (done) return;
      done = true;
      release();
    },
  };
}

export function createDisposableStore(): DisposableStore {
  const items: Disposable[] = [];
  let disposed = false;
  return {
    get isDisposed() {
      return disposed;
    },
    add(disposable) {
      if (disposed) {
        disposable.dispose();
        return disposable;
      }
      items.push(disposable);
      return disposable;
    },
    dispose() {
      if (disposed) return;
      disposed = true;
      while (items.length > 0) items.pop()?.dispose();
    },
  };
}
