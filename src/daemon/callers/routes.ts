import { createCompletionHandler, type CompletionOptions } from './completions.js';
import { createModelsHandler } from './models.js';
import { createResumeHandler, requestPrefix } from './resume.js';
import { type CallerRoute } from './server.js';
import { createServiceHandler, servicePrefix, type ServiceOptions } from './services.js';

export function createCallerRoutes(
  options: CompletionOptions & ServiceOptions,
): readonly CallerRoute[] {
  const { clock, replica } = options;
  return [
    {
      path: '/v1/chat/completions',
      methods: ['POST'],
      handler: createCompletionHandler(options, 'chat'),
    },
    {
      path: '/v1/completions',
      methods: ['POST'],
      handler: createCompletionHandler(options, 'text'),
    },
    { path: requestPrefix, methods: ['GET'], handler: createResumeHandler(options) },
    { path: '/v1/models', methods: ['GET'], handler: createModelsHandler(clock, replica) },
    { path: servicePrefix, handler: createServiceHandler(options) },
  ];
}
