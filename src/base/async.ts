/** Single-consumer queue that turns pushed values into an async iterable. */
export interface AsyncQueue<T> extends AsyncIterable<T> {
  readonly size: number;
  push(value: T): void;
  /** Ends the iteration after the values that are already queued. */
  end(): void;
  /** Fails the iteration after the values that are already queued. */
  fail(err: unknown): void;
}

export function createAsyncQueue<T>(): AsyncQueue<T> {
  const values: T[] = [];
  let finished = false;
  let failure: { readonly err: unknown } | undefined;
  let wake: (() => void) | undefined;
  const notify = (): void => {
    const resolve = wake;
    wake = undefined;
    resolve?.();
  };
  async function* iterate(): AsyncGenerator<T> {
    for (;;) {
      while (values.length > 0) yield values.shift() as T;
      if (failure) throw failure.err;
      if (finished) return;
      await new Promise<void>((resolve) => {
        wake = resolve;
      });
    }
  }
  return {
    get size() {
      return values.length;
    },
    push(value) {
      if (finished) return;
      values.push(value);
      notify();
    },
    end() {
      finished = true;
      notify();
    },
    fail(err) {
      if (finished) return;
      failure = { err };
      finished = true;
      notify();
    },
    [Symbol.asyncIterator]: iterate,
  };
}
