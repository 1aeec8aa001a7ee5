import { type Logger } from '../base/logging.js';
import { type SiteConfiguration } from '../ports/site.js';

/** Warnings of one configuration that get a line of their own. */
const maxLoggedWarnings = 32;

/** Logs the invalid values of a configuration that has just come into force. */
export function logConfigurationWarnings(
  log: Logger,
  { version, warnings }: SiteConfiguration,
): void {
  for (const warning of warnings.slice(0, maxLoggedWarnings))
    log.warn({ version, ...warning }, 'rate limit of a team is not applied: a value is invalid');
  const omitted = warnings.length - maxLoggedWarnings;
  if (omitted > 0) log.warn({ version, omitted }, 'further rate limits of teams are not applied');
}
