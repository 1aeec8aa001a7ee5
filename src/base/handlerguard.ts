/** Wraps an event handler so that it throws nothing. */
export type HandlerGuard = <Args extends readonly unknown[]>(
  handler: (...args: Args) => void,
) => (...args: Args) => void;

/**
 * Creates the guard of one exchange with a server. What the server sends reaches handlers in which an
 * exception would end the process, with the requests of all callers; `onError` gets the exception
 * and fails this exchange alone.
 */
export function createHandlerGuard(onError: (err: Error) => void): HandlerGuard {
  return (handler) =>
    (...args) => {
      try {
        handler(...args);
      } catch (err) {
        onError(err instanceof Error ? err : new Error(String(err)));
      }
    };
}
