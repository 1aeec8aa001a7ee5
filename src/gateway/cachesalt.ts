import { createHash } from 'node:crypto';
import { type SiteConfiguration, type TeamSpec } from '../ports/site.js';

/**
 * Chooses the cache salts of requests under one configuration. Engines and KV stores reuse cached
 * parts only under the salt under which they were made, so a salt must be the same only for requests
 * that may share them.
 */
export interface CacheSalts {
  /**
   * Returns the salt of a team's requests on one version of the weights. Undefined when this
   * configuration doesn't have the team, so that it is unknown with whom it may share.
   */
  saltOf(weightsVersion: number, team: TeamSpec | undefined): string | undefined;
}

/** Hexadecimal digits of the digest of the isolated teams. */
const digestLength = 12;

/**
 * The salt of shared parts names the set of isolated teams: when a team becomes isolated, the others no
 * longer find what it cached before. It contains the version of the weights because KV stores keep
 * parts of older versions.
 */
export function createCacheSalts({ teams }: Pick<SiteConfiguration, 'teams'>): CacheSalts {
  const byName = new Map((teams ?? []).map((team) => [team.name, team]));
  const isolated = [...byName.values()].filter(({ isIsolated }) => isIsolated);
  const names = isolated.map(({ name }) => name).sort();
  const digest = createHash('sha256').update(JSON.stringify(names)).digest('hex');
  const sharedScope = names.length > 0 ? `.without.${digest.slice(0, digestLength)}` : '';

  return {
    saltOf(weightsVersion, team) {
      if (!team) return `v${weightsVersion}${sharedScope}`;
      const current = byName.get(team.name);
      if (!current) return undefined;
      return current.isIsolated
        ? `v${weightsVersion}.team.${team.name}`
        : `v${weightsVersion}${sharedScope}`;
    },
  };
}
