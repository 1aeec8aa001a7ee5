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
  let isFinished = false;
  let failure: { readonly err: unknown } | undefined;
  let resumeConsumer: (() => void) | undefined;
  const notify = (): void => {
    const resolve = resumeConsumer;
    resumeConsumer = undefined;
    resolve?.();
  };
  async function* iterate(): AsyncGenerator<T> {
    for (;;) {
      while (values.length > 0) yield values.shift() as T;
      if (failure) throw failure.err;
      if (isFinished) return;
      await new Promise<void>((resolve) => {
        resumeConsumer = resolve;
      });
    }
  }
  return {
    get size() {
      return values.length;
    },
    push(value) {
      if (isFinished) return;
      values.push(value);
      notify();
    },
    end() {
      isFinished = true;
      notify();
    },
    fail(err) {
      if (isFinished) return;
      failure = { err };
      isFinished = true;
      notify();
    },
    [Symbol.asyncIterator]: iterate,
  };
}
