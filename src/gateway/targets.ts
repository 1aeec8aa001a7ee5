import { type Clock } from '../base/clock.js';
import { type Disposable, toDisposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';
import { type RowChange } from '../configuration/watch.js';
import { type Row } from '../ports/rows.js';
import { type SiteDecoder, type TargetRegistration } from '../ports/site.js';
import { createRestoredRegistrations } from './restoredregistrations.js';
import { createTarget, type ListedTarget, type Target, type TargetOptions } from './target.js';

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

export interface TargetDirectoryOptions extends TargetOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly decoder: SiteDecoder;
  /** Interval at which targets renew their registrations. */
  readonly checkInMs: number;
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
  const restored = createRestoredRegistrations(options);
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

  const removeTarget = (id: string, reason: string, isReplaced = false): void => {
    const target = targets.get(id);
    if (!target) return;
    targets.delete(id);
    restored.recordEnd(target.registration, isReplaced);
    target.close();
    onCacheCleared(id);
    log.info({ target: id, service: target.registration.service, reason }, 'target removed');
  };

  const cancelRemoval = (id: string): void => {
    pendingRemovals.get(id)?.dispose();
    pendingRemovals.delete(id);
  };

  const scheduleRemoval = (id: string): void => {
    restored.recordRemovedRow(id);
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

  const upsert = ({ key: id, version }: Row, value: string): void => {
    const registration = decoder.target(id, value);
    if (!registration) {
      log.warn({ target: id }, 'target registration is invalid and is treated as removed');
      options.onInvalidRegistration?.();
      scheduleRemoval(id);
      return;
    }
    const applyLater = (): void => {
      upsert({ key: id, version, value }, value);
      rebuild();
    };
    if (restored.holdBack(registration, version, applyLater)) {
      log.info({ target: id }, 'ignoring the registration of a target that had ended before');
      return;
    }
    restored.recordListed(registration);
    cancelRemoval(id);
    const known = targets.get(id);
    if (known && isSameIncarnation(known.registration, registration)) {
      const wasLeaving = known.registration.isLeaving;
      known.updateRegistration(registration);
      const { isLeaving } = known.registration;
      if (isLeaving !== wasLeaving)
        log.info({ target: id, isLeaving }, 'target changed its leaving state');
      return;
    }
    if (known) removeTarget(id, 'target restarted', true);
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
      for (const row of rows) {
        const { key, value } = row;
        if (value === undefined) scheduleRemoval(key);
        else {
          listed.add(key);
          upsert(row, value);
        }
      }
      if (isSnapshot) {
        restored.recordListedIds(listed);
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
