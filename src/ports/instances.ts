import { type CancellationToken } from '../base/cancellation.js';

/** One process of the system as listed by the platform. */
export interface ListedInstance {
  readonly instance: string;
  readonly role: 'entry' | 'agent';
  /** `http://ip:port` of the internal listener. */
  readonly address: string;
  readonly dataCentre: string;
  readonly leaving: boolean;
}

/** The platform's list of running and leaving instances. It lags, so it is only a hint. */
export interface InstancesPort {
  list(token: CancellationToken): Promise<readonly ListedInstance[]>;
}
