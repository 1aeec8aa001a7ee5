import { afterEach, beforeEach, expect, it } from 'vitest';
import { createEndpointSliceInstances } from '../../src/adapters/endpointslice/instances.js';
import { noCancellation } from '../../src/base/cancellation.js';
import { createOperatorClient } from '../../src/cli/client.js';
import { type EndlessTarget, startEndlessTarget } from '../standins/platform/endlesstarget.js';

let target: EndlessTarget;
let url: string;

beforeEach(async () => {
  target = await startEndlessTarget('instances', 'body');
  url = `http://${String(target.registration['addr'])}`;
});

afterEach(() => target.close());

it('gives up an instance list without end at its limit', async () => {
  const instances = createEndpointSliceInstances(url);
  try {
    await expect(instances.list(noCancellation)).rejects.toThrow(/exceeded max size/i);
  } finally {
    instances.dispose();
  }
});

it('gives up a response without end to the command line at its limit', async () => {
  await expect(createOperatorClient(url, 'token').get('agents')).rejects.toThrow(
    /exceeded max size/i,
  );
});
