/** What a gateway knows about the target of an attempt when no bytes arrive from it. */
export interface SilenceFacts {
  /** Time since the last byte of the response, or since the request was sent, in milliseconds. */
  readonly silentMs: number;
  /** Time since the target last sent bytes of any response or accepted a connection. */
  readonly sinceReachableMs: number;
  /** The target began to respond to this request or to one that was sent clearly later. */
  readonly answersOthers: boolean;
}
