import { type FaultyHttp, startFaultyHttp } from './httpfaults.js';

/** Conditions of an endpoint as the platform publishes them. */
export interface EndpointConditions {
  readonly ready?: boolean;
  readonly serving?: boolean;
  readonly terminating?: boolean;
}

/** One endpoint of the published list. */
export interface PublishedEndpoint {
  readonly name: string;
  readonly role: string;
  readonly ip: string;
  readonly port: number;
  readonly zone?: string;
  readonly conditions?: EndpointConditions;
}

/** Stand-in for the instance list; a frozen list keeps showing what it held when frozen. */
export interface EndpointSliceStandIn {
  readonly http: FaultyHttp;
  publish(endpoints: readonly PublishedEndpoint[]): void;
  /** True makes the list stale: publications are not shown until it is false again. */
  stale: boolean;
}

export async function startEndpointSlices(): Promise<EndpointSliceStandIn> {
  let published: readonly PublishedEndpoint[] = [];
  let shown: readonly PublishedEndpoint[] = [];
  const state = { stale: false };

  const toSlice = ({ name, role, ip, port, zone, conditions }: PublishedEndpoint) => ({
    metadata: { name: `slice-${name}`, labels: { 'app.kubernetes.io/component': role } },
    addressType: ip.includes(':') ? 'IPv6' : 'IPv4',
    endpoints: [{ addresses: [ip], conditions: conditions ?? {}, zone, targetRef: { name } }],
    ports: [{ name: 'internal', port, protocol: 'TCP' }],
  });

  const http = await startFaultyHttp({
    handle() {
      if (!state.stale) shown = published;
      const items = shown.map(toSlice);
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
