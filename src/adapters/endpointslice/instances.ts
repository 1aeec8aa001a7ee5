import { Agent, request } from 'undici';
import { z } from 'zod';
import { type Disposable } from '../../base/lifecycle.js';
import { type InstancesPort, type ListedInstance } from '../../ports/instances.js';
import { callStore, storeTimeoutMs } from '../storecall.js';

/** Instance list that is read from EndpointSlice objects (discovery.k8s.io/v1). */
export interface EndpointSliceInstances extends InstancesPort, Disposable {}

/** Label of a slice with the role of its endpoints. */
const roleLabel = 'app.kubernetes.io/component';

/** Port name of the internal listener. */
const portName = 'internal';

/** Largest accepted instance list, in bytes. */
const maxResponseSize = 4 * 1_048_576;

const conditionsSchema = z.object({
  ready: z.boolean().nullish(),
  serving: z.boolean().nullish(),
  terminating: z.boolean().nullish(),
});

const endpointSchema = z.object({
  addresses: z.array(z.string()),
  conditions: conditionsSchema.nullish(),
  zone: z.string().nullish(),
  targetRef: z.object({ name: z.string().nullish() }).nullish(),
});

const sliceSchema = z.object({
  metadata: z.object({ labels: z.record(z.string(), z.string()).nullish() }),
  addressType: z.string(),
  endpoints: z.array(endpointSchema).nullish(),
  ports: z.array(z.object({ name: z.string().nullish(), port: z.int().nullish() })).nullish(),
});

const sliceListSchema = z.object({ items: z.array(sliceSchema) });

/**
 * An endpoint is leaving when it terminates. Publishers that omit `terminating` report such an
 * endpoint as serving but not ready. An endpoint that is only not ready may be starting, so it
 * stays listed; the state that the process itself reports takes precedence.
 */
function isLeaving(conditions: z.infer<typeof conditionsSchema> | null | undefined): boolean {
  const { ready, serving, terminating } = conditions ?? {};
  return terminating ?? (ready === false && serving === true);
}

function toInstances(slice: z.infer<typeof sliceSchema>): readonly ListedInstance[] {
  const role = slice.metadata.labels?.[roleLabel];
  const port = slice.ports?.find(({ name }) => name === portName)?.port;
  if ((role !== 'entry' && role !== 'agent') || !port) return [];
  return (slice.endpoints ?? []).flatMap((endpoint) => {
    const [ip] = endpoint.addresses;
    if (!ip) return [];
    const host = slice.addressType === 'IPv6' ? `[${ip}]` : ip;
    const address = `http://${host}:${port}`;
    const instance = endpoint.targetRef?.name ?? address;
    return [
      {
        instance,
        role,
        address,
        dataCentre: endpoint.zone ?? '',
        leaving: isLeaving(endpoint.conditions),
      },
    ];
  });
}

/** Creates the adapter; slices without a known role label or the port `internal` are skipped. */
export function createEndpointSliceInstances(url: string): EndpointSliceInstances {
  const dispatcher = new Agent({ connectTimeout: storeTimeoutMs, maxResponseSize });
  return {
    list: (token) =>
      callStore('read', token, async (signal) => {
        const res = await request(url, { dispatcher, signal });
        const body = await res.body.json();
        if (res.statusCode !== 200)
          throw new Error(`instance list request failed with status ${res.statusCode}`);
        return sliceListSchema.parse(body).items.flatMap(toInstances);
      }),
    dispose() {
      dispatcher.destroy().catch(() => undefined);
    },
  };
}
