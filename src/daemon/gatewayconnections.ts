import { type ContactReportsOptions, type ContactSubject } from '../gateway/contactreports.js';
import { type KvStores, type ProbedStore } from '../gateway/kvstores.js';
import { type Target, type TargetDirectory } from '../gateway/targets.js';

/** Connections that a gateway keeps to one target before it knows how many gateways share it. */
const shareOfUnknown = 2;

/**
 * Connections, in use and idle, that one gateway may keep to a target, so that all of them together
 * stay below what the target accepts. More requests at once still get connections, but these are
 * closed after their response.
 */
export function connectionShare(
  maxConnections: number | undefined,
  gateways: number | undefined,
): number {
  if (gateways === undefined) return shareOfUnknown;
  return Math.floor((maxConnections ?? Infinity) / gateways);
}

const subjectOf = ({ id, registration, connections }: Target): ContactSubject => ({
  id,
  address: registration.address,
  startedAt: registration.startedAt,
  connections,
});

const subjectOfStore = ({ locationName, address, connections }: ProbedStore): ContactSubject => ({
  id: locationName,
  address,
  startedAt: 0,
  connections,
});

/** Servers of which the gateways tell each other that they had contact with them. */
export function contactSubjects(
  directory: Pick<TargetDirectory, 'all' | 'find'>,
  stores: Pick<KvStores, 'all'>,
): Pick<ContactReportsOptions, 'subjects' | 'find'> {
  return {
    subjects: () => [...stores.all.map(subjectOfStore), ...directory.all.map(subjectOf)],
    find(id) {
      const target = directory.find(id);
      if (target) return subjectOf(target);
      const store = stores.all.find(({ locationName }) => locationName === id);
      return store && subjectOfStore(store);
    },
  };
}
