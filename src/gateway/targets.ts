import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type RowChange } from '../configuration/watch.js';
import { type SiteDecoder, type TargetRegistration } from '../ports/site.js';
import {
  createTarget,
  type ListedTarget,
  type Target,
  type TargetConnectionOptions,
} from './target.js';

export { type Target } from './target.js';

/** All targets of the site. */
export interface TargetDirectory {
  readonly all: readonly Target[];
  /** Targets of a service that accept new requests. */
  usable(service: string): readonly Target[];
  find(id: string): Target | undefined;
  apply(change: RowChange): void;
  /** Called after each change of the list or of a target's weights. */
  onChange(listener: () => void): Disposable;
}

export interface TargetDirectoryOptions extends TargetConnectionOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly decoder: SiteDecoder;
  /** Time since a call to the store last failed; registrations expire during an outage. */
  sinceStoreFailureMs(): number;
  /** Called when a target is removed or has other weights, so that its KV cache is empty. */
  onCacheCleared(id: string): void;
  /** Called when a registration could not be decoded. */
  onInvalidRegistration?(): void;
}

/**
 * Registrations that expired in a store outage are renewed about two seconds after its end, so a
 * removal is deferred until this long after the last store failure.
 */
const expiryGraceMs = 2_200;

function isSameIncarnation(a: TargetRegistration, b: TargetRegistration): boolean {
  const sameAddress = a.address.host === b.address.host && a.address.port === b.address.port;
  return sameAddress && a.startedAt === b.startedAt && a.service === b.service;
}

/** Creates the list of targets from the registrations that they write. */
export function createTargetDirectory(options: TargetDirectoryOptions): TargetDirectory {
  const { clock, log, decoder, sinceStoreFailureMs, onCacheCleared } = options;
  const targets = new Map<string, ListedTarget>();
  const pendingRemovals = new Map<string, Disposable>();
  const listeners = new Set<() => void>();
  let all: readonly Target[] = [];
  let byService = new Map<string, Target[]>();

  const notify = (): void => {
    for (const listener of listeners) listener();
  };

  const rebuild = (): void => {
    all = [...targets.values()];
    byService = new Map();
    for (const target of all) {
      if (target.isLeaving) continue;
      const list = byService.get(target.registration.service) ?? [];
      list.push(target);
      byService.set(target.registration.service, list);
    }
    notify();
  };

  const onWeightsChange = (id: string): void => {
    onCacheCleared(id);
    notify();
  };

  const onLeaving = (id: string): void => {
    log.info(
      { target: id },
      'a response says that the target is leaving; it gets no more requests',
    );
    rebuild();
  };

  const removeTarget = (id: string, reason: string): void => {
    const target = targets.get(id);
    if (!target) return;
    targets.delete(id);
    target.close();
    onCacheCleared(id);
    log.info({ target: id, service: target.registration.service, reason }, 'target removed');
  };

  const cancelRemoval = (id: string): void => {
    pendingRemovals.get(id)?.dispose();
    pendingRemovals.delete(id);
  };

  const scheduleRemoval = (id: string): void => {
    if (!targets.has(id) || pendingRemovals.has(id)) return;
    const waitMs = expiryGraceMs - sinceStoreFailureMs();
    if (waitMs <= 0) {
      removeTarget(id, 'registration removed');
      return;
    }
    const timer = clock.setTimer(waitMs, () => {
      pendingRemovals.delete(id);
      removeTarget(id, 'registration not renewed after a store outage');
      rebuild();
    });
    pendingRemovals.set(id, timer);
  };

  const upsert = (id: string, value: string): void => {
    const registration = decoder.target(id, value);
    if (!registration) {
      log.warn({ target: id }, 'target registration is invalid and is treated as removed');
      options.onInvalidRegistration?.();
      scheduleRemoval(id);
      return;
    }
    cancelRemoval(id);
    const known = targets.get(id);
    if (known && isSameIncarnation(known.registration, registration)) {
      if (known.registration.isLeaving !== registration.isLeaving) {
        log.info(
          { target: id, isLeaving: registration.isLeaving },
          'target changed its leaving state',
        );
      }
      known.updateRegistration(registration);
      return;
    }
    if (known) removeTarget(id, 'target restarted');
    targets.set(
      id,
      createTarget(
        clock,
        registration,
        () => onWeightsChange(id),
        () => onLeaving(id),
        options,
      ),
    );
    const { service, dataCentre, isLeaving } = registration;
    log.info({ target: id, service, dataCentre, isLeaving }, 'target added');
  };

  return {
    get all() {
      return all;
    },
    usable: (service) => byService.get(service) ?? [],
    find: (id) => targets.get(id),
    apply({ rows, isSnapshot }) {
      const listed = new Set<string>();
      for (const { key, value } of rows) {
        if (value === undefined) scheduleRemoval(key);
        else {
          listed.add(key);
          upsert(key, value);
        }
      }
      if (isSnapshot) {
        for (const id of [...targets.keys()]) if (!listed.has(id)) scheduleRemoval(id);
      }
      rebuild();
    },
    onChange(listener) {
      listeners.add(listener);
      return toDisposable(() => listeners.delete(listener));
    },
  };
}
