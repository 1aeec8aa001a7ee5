import { Code, ConnectError } from '@connectrpc/connect';
import { expect, test } from 'vitest';
import { createPeerConnector } from '../../../src/adapters/connect/connector.js';
import { listenInternal } from '../../../src/adapters/connect/listener.js';
import { peerRoutes } from '../../../src/adapters/connect/peerservice.js';

const credential = 'peer-test-credential';

// Guards against a peer service that loses a report, serves strangers, or fails for absent parts.
test('the peer service answers with its parts and refuses the others', async () => {
  const listener = await listenInternal(
    { host: '127.0.0.1', port: 0 },
    credential,
    peerRoutes({ reportUsage: ({ teams }) => ({ instance: 'entry-2', teams }) }),
  );
  const peer = createPeerConnector(credential).entry(listener.address);
  const stranger = createPeerConnector('another-credential').entry(listener.address);
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
    expect(await codeOf(stranger.client.reportUsage({}))).toBe(Code.Unauthenticated);
  } finally {
    peer.dispose();
    stranger.dispose();
    listener.destroy();
  }
});
