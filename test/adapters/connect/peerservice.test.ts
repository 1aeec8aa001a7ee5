import { Code, ConnectError } from '@connectrpc/connect';
import { expect, test } from 'vitest';
import { createPeerConnector } from '../../../src/adapters/connect/connector.js';
import { listenInternal } from '../../../src/adapters/connect/listener.js';
import { peerRoutes } from '../../../src/adapters/connect/peerservice.js';

const credential = 'peer-test-credential';

// Guards against a peer service that loses a report, serves calls without the credential, or fails
// for methods that are not registered.
test('the peer service serves its registered methods to authenticated peers only', async () => {
  const listener = await listenInternal(
    { host: '127.0.0.1', port: 0 },
    credential,
    peerRoutes({ reportUsage: ({ teams }) => ({ instance: 'entry-2', teams }) }),
  );
  const peer = createPeerConnector(credential).entry(listener.address);
  const unauthenticatedPeer = createPeerConnector('another-credential').entry(listener.address);
  const teams = [{ team: 'red', requestsPerSecond: 1.5, tokensPerSecond: 20, streams: 3 }];
  try {
    const reply = await peer.client.reportUsage({ instance: 'entry-1', teams });
    expect(reply).toMatchObject({ instance: 'entry-2', teams });
    const codeOf = (call: Promise<unknown>) =>
      call.then(
        () => undefined,
        (err: unknown) => ConnectError.from(err).code,
      );
    expect(await codeOf(peer.client.getConfiguration({}))).toBe(Code.Unimplemented);
    expect(await codeOf(unauthenticatedPeer.client.reportUsage({}))).toBe(Code.Unauthenticated);
  } finally {
    peer.dispose();
    unauthenticatedPeer.dispose();
    listener.destroy();
  }
});
