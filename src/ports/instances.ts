import { type CancellationToken } from '../base/cancellation.js';

/** One process of the system as the platform's lagging list shows it. */
export interface ListedInstance {
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  /** `http://ip:port` of the internal listener. */
  readonly address: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
}

/** List of live and leaving instances. It lags, so it is only a hint. */
export interface InstancesPort {
  list(token: CancellationToken): Promise<readonly ListedInstance[]>;
}
