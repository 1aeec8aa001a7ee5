import { connect } from 'node:net';
import { type HostPort } from '../base/address.js';
import { type Clock } from '../base/clock.js';

/** Tests whether a server accepts connections. */
export interface Probe {
  /**
   * Opens a connection and closes it; true when the target accepted it. Shares the result of a probe
   * that is under way.
   */
  probe(): Promise<boolean>;
  /** The same with a connection that is opened after the call. */
  probeAnew(): Promise<boolean>;
}

export interface ProbeOptions {
  readonly clock: Clock;
  readonly address: HostPort;
  readonly timeoutMs: number;
  /** Called when a probe begins. */
  onProbe(): void;
  onConnected(): void;
}

export function createProbe(options: ProbeOptions): Probe {
  const { clock, address, timeoutMs } = options;
  let pending: Promise<boolean> | undefined;

  const open = (): Promise<boolean> =>
    new Promise((resolve) => {
      options.onProbe();
      const socket = connect(address.port, address.host);
      const finish = (isUp: boolean): void => {
        socket.destroy();
        resolve(isUp);
      };
      const timer = clock.setTimer(timeoutMs, () => finish(false));
      socket.once('connect', () => {
        timer.dispose();
        options.onConnected();
        finish(true);
      });
      // The error does not matter: the target counts as down until a connection succeeds.
      socket.once('error', () => {
        timer.dispose();
        finish(false);
      });
    });

  return {
    probe() {
      // All requests that wait for one target share a probe.
      pending ??= open().finally(() => {
        pending = undefined;
      });
      return pending;
    },
    probeAnew: open,
  };
}
