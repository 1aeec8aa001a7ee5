import { noCancellation } from '../../base/cancellation.js';
import { errMessage, StoreReplyLostError, StoreUnavailableError } from '../../base/errors.js';
import { refusal } from '../../base/refusals.js';
import { authenticateOperator, requireRole } from './access.js';
import { type OperatorApiOptions } from './context.js';
import { recordOperations } from './records.js';
import { reportOperations } from './reports.js';
import { type OperatorRoute } from './server.js';

const prefix = '/v1/';

const operations = [...recordOperations, ...reportOperations];

function decodeParts(parts: readonly string[]): readonly string[] {
  try {
    return parts.map(decodeURIComponent);
  } catch {
    throw refusal('unknownRoute', 'the path has invalid percent-encoding');
  }
}

/** Creates the operators' API: JSON over HTTP below `/v1/`, with operator tokens. */
export function createOperatorApi(api: OperatorApiOptions): OperatorRoute {
  return {
    path: prefix,
    async handler(req, res, url) {
      const { replica } = api.configuration;
      const operator = authenticateOperator(req, replica, api.bootstrapTokenHash);
      const path = url.pathname.slice(prefix.length);
      const matching = operations.filter(({ pattern }) => pattern.test(path));
      if (matching.length === 0) throw refusal('unknownRoute', `no such path: ${url.pathname}`);
      const operation = matching.find(({ method }) => method === req.method);
      if (!operation) {
        throw refusal('methodNotAllowed', `method ${req.method} is not allowed here`);
      }
      requireRole(operator, operation.role);
      const params = decodeParts(operation.pattern.exec(path)?.slice(1) ?? []);
      try {
        // A change continues after the operator disconnects; its outcome is stored by id.
        await operation.run({ api, operator, req, res, url, params, token: noCancellation });
      } catch (err) {
        if (err instanceof StoreUnavailableError) throw refusal('storeDown', errMessage(err));
        if (err instanceof StoreReplyLostError) throw refusal('outcomeUnknown', errMessage(err));
        throw err;
      }
    },
  };
}
