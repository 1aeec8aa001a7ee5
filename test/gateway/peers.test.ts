import { expect, it } from 'vitest';
import { createNullLogger } from '../../src/base/logging.js';
import { createPeers } from '../../src/gateway/peers.js';
import { createManualClock } from '../standins/clock.js';

// Guards against a gateway that takes all of a shared limit because it does not know its peers yet.
it('knows the number of gateways only after the addresses of the others were read', () => {
  const peers = createPeers({
    clock: createManualClock(),
    log: createNullLogger(),
    instance: 'gw-1',
    bind: { host: '127.0.0.1', port: 0 },
    ownInFlight: () => [],
    evidence: () => undefined,
    limits: () => undefined,
  });
  expect([peers.count, peers.knownCount]).toEqual([1, undefined]);
  peers.setPeers([]);
  expect([peers.count, peers.knownCount]).toEqual([1, 1]);
  peers.setPeers([{ host: '127.0.0.1', port: 9 }]);
  expect([peers.count, peers.knownCount]).toEqual([2, 2]);
  peers.dispose();
});
