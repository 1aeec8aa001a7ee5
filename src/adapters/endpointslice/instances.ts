import { Agent, request } from 'undici';
import { z } from 'zod';
import { type Disposable } from '../../base/lifecycle.js';
import { type InstancesPort, type ListedInstance } from '../../ports/instances.js';
import { callStore, storeTimeoutMs } from '../storecall.js';

/** Instance list that is read as EndpointSlice objects (discovery.k8s.io/v1). */
export interface EndpointSliceInstances extends InstancesPort, Disposable {}

/** Label of a slice that names the role of its endpoints. */
const roleLabel = 'app.kubernetes.io/component';

/** Name of the port of the internal listener. */
const portName = 'internal';

const conditions = z.object({
  ready: z.boolean().nullish(),
  serving: z.boolean().nullish(),
  terminating: z.boolean().nullish(),
});

const endpoint = z.object({
  addresses: z.array(z.string()),
  conditions: conditions.nullish(),
  zone: z.string().nullish(),
  targetRef: z.object({ name: z.string().nullish() }).nullish(),
});

const slice = z.object({
  metadata: z.object({ labels: z.record(z.string(), z.string()).nullish() }),
  addressType: z.string(),
  endpoints: z.array(endpoint).nullish(),
  ports: z.array(z.object({ name: z.string().nullish(), port: z.int().nullish() })).nullish(),
});

const sliceList = z.object({ items: z.array(slice) });

/**
 * An endpoint is leaving when it terminates. Publishers that leave `terminating` out show a
 * terminating endpoint as serving but not ready. An endpoint that is only not ready may be
 * starting, so it stays listed; what the process itself reports takes precedence.
 */
function isLeaving(given: z.infer<typeof conditions> | null | undefined): boolean {
  const { ready, serving, terminating } = given ?? {};
  return terminating ?? (ready === false && serving === true);
}

function readSlice(item: z.infer<typeof slice>): readonly ListedInstance[] {
  const role = item.metadata.labels?.[roleLabel];
  const port = item.ports?.find(({ name }) => name === portName)?.port;
  if ((role !== 'entry' && role !== 'agent') || !port) return [];
  return (item.endpoints ?? []).flatMap((each) => {
    const [ip] = each.addresses;
    if (!ip) return [];
    const host = item.addressType === 'IPv6' ? `[${ip}]` : ip;
    const address = `http://${host}:${port}`;
    const instance = each.targetRef?.name ?? address;
    return [
      { instance, role, address, dataCentre: each.zone ?? '', leaving: isLeaving(each.conditions) },
    ];
  });
}

/** Creates the list; slices without the role label or the port `internal` are passed over. */
export function createEndpointSliceInstances(url: string): EndpointSliceInstances {
  const dispatcher = new Agent({ connectTimeout: storeTimeoutMs });
  return {
    list: (token) =>
      callStore('read', token, async (signal) => {
        const res = await request(url, { dispatcher, signal });
        const body = await res.body.json();
        if (res.statusCode !== 200) throw new Error(`instance list answered ${res.statusCode}`);
        return sliceList.parse(body).items.flatMap(readSlice);
      }),
    dispose() {
      dispatcher.destroy().catch(() => undefined);
    },
  };
}
