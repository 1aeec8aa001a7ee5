import { type KeySpec } from './schema.js';
import { valueTypes as t } from './types.js';

/** All sections and keys of a gateway's settings. */
export const gatewaySchema = {
  process: {
    instance: { type: t.name, required: true, doc: 'Unique name of this instance.' },
    data_centre: { type: t.name, required: true, doc: 'Data centre of this instance.' },
    log_level: { type: t.logLevel, fallback: 'info', doc: 'Least severe level that is logged.' },
  },
  listen: {
    callers: { type: t.address, required: true, doc: 'Listener for callers.' },
    operators: { type: t.address, required: true, doc: 'Listener for readiness and metrics.' },
    peers: { type: t.address, required: true, doc: 'UDP address for hints of other gateways.' },
  },
  store: {
    address: { type: t.address, required: true, doc: 'Store of configuration, targets, claims.' },
  },
  orders: {
    lease: { type: t.duration, fallback: '3s', doc: 'Time between the orders of two holders.' },
  },
  repeats: {
    share: { type: t.share, fallback: '0.1', doc: 'Repeats for each request.' },
    slack: { type: t.amount, fallback: '10', doc: 'Repeats of all gateways beside the share.' },
    window: { type: t.duration, fallback: '10s', doc: 'Time over which repeats are counted.' },
  },
  shutdown: {
    balancer_wait: { type: t.duration, fallback: '2500ms', doc: 'Not ready, still accepting.' },
    grace: { type: t.duration, fallback: '8s', doc: 'Time until the process is killed.' },
  },
} as const satisfies Readonly<Record<string, Readonly<Record<string, KeySpec>>>>;
