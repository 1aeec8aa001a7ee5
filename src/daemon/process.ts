/** A running daemon process of either role. */
export interface DaemonProcess {
  /** Addresses in use; ports differ from the settings when they ask for port 0. */
  readonly addresses: {
    readonly callers?: string;
    readonly operators: string;
    readonly internal: string;
  };
  /** Requests that are being served. */
  readonly active: number;
  /** Reports not ready, waits for the balancer, finishes running requests, then closes. */
  drain(): Promise<void>;
  /** Closes everything at once and returns how many requests were cut. */
  stop(): number;
}

/** Time between checks of whether running requests have finished. */
export const drainPollMs = 50;
