import { type Clock } from '../../base/clock.js';
import { type ConfigurationReplica } from '../../configuration/replica.js';
import { sendJson } from '../operators/server.js';
import { type CallerHandler } from './server.js';

/** Lists the models that the caller's team may use. */
export function createModelsHandler(clock: Clock, replica: ConfigurationReplica): CallerHandler {
  const created = Math.floor(clock.wallTime() / 1_000);
  return async ({ res, team }) => {
    const routes = replica
      .list('route')
      .filter((route) => route.kind === 'model')
      .filter((route) => !route.teams || route.teams.includes(team.name));
    const data = routes.map(({ name }) => ({
      id: name,
      object: 'model',
      created,
      owned_by: 'cicadatide',
    }));
    sendJson(res, 200, { object: 'list', data });
  };
}
