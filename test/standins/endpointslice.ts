import { type FaultyHttpServer, startFaultyHttpServer } from './httpfaults.js';

/** Conditions of an endpoint as the platform publishes them. */
export interface EndpointConditions {
  readonly ready?: boolean;
  readonly serving?: boolean;
  readonly terminating?: boolean;
}

/** One endpoint of the published EndpointSlice list. */
export interface PublishedEndpoint {
  readonly name: string;
  readonly role: string;
  readonly ip: string;
  readonly port: number;
  readonly zone?: string;
  readonly conditions?: EndpointConditions;
}

/** Stand-in for the EndpointSlice API of the platform. */
export interface EndpointSliceStandIn {
  readonly http: FaultyHttpServer;
  publish(endpoints: readonly PublishedEndpoint[]): void;
  /** While true, responses contain the previous list and later publications are not visible. */
  stale: boolean;
}

export async function startEndpointSlices(): Promise<EndpointSliceStandIn> {
  let published: readonly PublishedEndpoint[] = [];
  let served: readonly PublishedEndpoint[] = [];
  const state = { stale: false };

  const toSlice = ({ name, role, ip, port, zone, conditions }: PublishedEndpoint) => ({
    metadata: { name: `slice-${name}`, labels: { 'app.kubernetes.io/component': role } },
    addressType: ip.includes(':') ? 'IPv6' : 'IPv4',
    endpoints: [{ addresses: [ip], conditions: conditions ?? {}, zone, targetRef: { name } }],
    ports: [{ name: 'internal', port, protocol: 'TCP' }],
  });

  const http = await startFaultyHttpServer({
    handle() {
      if (!state.stale) served = published;
      const items = served.map(toSlice);
      const body = { kind: 'EndpointSliceList', apiVersion: 'discovery.k8s.io/v1', items };
      const headers = { 'content-type': 'application/json' };
      return { status: 200, headers, body: JSON.stringify(body) };
    },
    rejection: { status: 403, body: '{"kind":"Status","code":403}' },
  });
  return Object.assign(state, {
    http,
    publish(endpoints: readonly PublishedEndpoint[]) {
      published = endpoints;
    },
  });
}
