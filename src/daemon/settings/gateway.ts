import { type KeySpec } from './schema.js';
import { valueTypes as types } from './types.js';

/** All sections and keys of a gateway's settings. */
export const gatewaySchema = {
  process: {
    instance: { type: types.name, required: true, doc: 'Unique name of this instance.' },
    data_centre: { type: types.name, required: true, doc: 'Data centre of this instance.' },
    log_level: {
      type: types.logLevel,
      fallback: 'info',
      doc: 'Least severe level that is logged.',
    },
  },
  listen: {
    callers: { type: types.address, required: true, doc: 'Listener for callers.' },
    operators: { type: types.address, required: true, doc: 'Listener for readiness and metrics.' },
    peers: {
      type: types.address,
      required: true,
      doc: 'UDP address that receives hints of other gateways.',
    },
  },
  store: {
    address: {
      type: types.address,
      required: true,
      doc: 'Address of the store of configuration, targets and claims.',
    },
  },
  targets: {
    check_in: {
      type: types.duration,
      fallback: '2s',
      doc: 'Interval at which targets renew their registrations in the store; one that misses three of them expires.',
    },
  },
  machine: {
    memory: {
      type: types.size,
      doc: 'Memory of the machine that this process may use; without it, the limit of its control group or the memory of the host.',
    },
    descriptors: {
      type: types.count,
      doc: 'Descriptors that this process may open; without it, its own limit.',
    },
  },
  orders: {
    lease: {
      type: types.duration,
      fallback: '3s',
      doc: 'Minimum time between the orders of two lease holders.',
    },
  },
  weights: {
    deadline: {
      type: types.weightsDeadline,
      fallback: '10s',
      doc: 'Time after which no request may begin on weights older than the desired ones.',
    },
    store_grace: {
      type: types.duration,
      fallback: '3s',
      doc: 'Time after a failed call of the store in which `deadline` does not apply.',
    },
  },
  repeats: {
    share: {
      type: types.ratio,
      fallback: '0.1',
      doc: 'Allowed ratio of retries to requests, for each service.',
    },
    slack: {
      type: types.amount,
      fallback: '10',
      doc: 'Retries allowed to all gateways in addition to `share`, for each service; a gateway uses its part from one `window` after its start.',
    },
    window: { type: types.duration, fallback: '10s', doc: 'Time over which retries are counted.' },
  },
  team_limits: {
    window: {
      type: types.duration,
      fallback: '10s',
      doc: 'Time over which the use of a team at all gateways is bounded.',
    },
    overage: {
      type: types.ratio,
      fallback: '0',
      doc: 'Tolerated use above the rate limit of a team, as a fraction of it.',
    },
    slack: {
      type: types.amount,
      fallback: '0',
      doc: 'Tokens tolerated in addition to `overage` in each `window`; limits of requests get none.',
    },
  },
  quarantine: {
    hold: {
      type: types.duration,
      fallback: '1h',
      doc: 'Time after the last change for which prompt parts that crashed engines are not sent.',
    },
  },
  placement: {
    learned_speeds: {
      type: types.switch,
      fallback: 'off',
      doc: 'Whether targets of one service may differ in speed, which is then learned for each of them; see docs/design/learned-speeds.md.',
    },
  },
  shutdown: {
    balancer_wait: {
      type: types.duration,
      fallback: '2500ms',
      doc: 'Time to report not ready while still accepting requests.',
    },
    grace: {
      type: types.duration,
      fallback: '8s',
      doc: 'Time from the start of the shutdown until the process is killed.',
    },
  },
} as const satisfies Readonly<Record<string, Readonly<Record<string, KeySpec>>>>;
