import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { createCancellationSource } from '../../base/cancellation.js';
import { type Clock, sleep } from '../../base/clock.js';
import { ReplayWindowError } from '../../base/errors.js';
import { type Disposable } from '../../base/lifecycle.js';
import { AgentService, RefusalReason } from '../../gen/cicadatide/v1/agent_pb.js';
import { type ServiceWorker } from '../../idempotency/serviceworker.js';
import { type OrderExecutor } from '../../orders/executor.js';
import { type EngineOrder } from '../../ports/engine.js';
import { type EngineWorker } from '../../scheduling/worker.js';

/** Identity of the agent as reported in its status stream. */
export interface AgentIdentity {
  readonly instance: string;
  readonly target: string;
  readonly kind: 'engine' | 'service';
  readonly dataCentre: string;
}

export interface AgentServiceOptions {
  readonly clock: Clock;
  readonly identity: AgentIdentity;
  readonly engine: EngineWorker | undefined;
  readonly service: ServiceWorker | undefined;
  /** Executes orders; present for an engine target. */
  readonly orders: OrderExecutor | undefined;
  /** Route that a service target serves, or an empty string. */
  readonly serviceRoute: string;
  readonly isLeaving: () => boolean;
  /**
   * Calls the listener when the agent starts to leave, so that entries receive a status
   * immediately.
   */
  readonly onLeaving: (listener: () => void) => Disposable;
  readonly configurationRevision: () => bigint;
}

const orderActions: readonly string[] = [
  'load-weights',
  'load-adapter',
  'change-role',
] satisfies readonly EngineOrder['action'][];

function isOrderAction(action: string): action is EngineOrder['action'] {
  return orderActions.includes(action);
}

const statusIntervalMs = 250;

/** Size of one status message on the wire, including frame and segment headers. */
const statusMessageBytes = 160;

/** Part of the 18 KB/s budget for control traffic that one agent may use for status messages. */
const maxStatusBytesPerSecond = 9_000;

/**
 * Returns the interval in milliseconds that keeps status messages to all subscribers in the budget.
 */
export function statusIntervalFor(subscribers: number): number {
  const budgetMs = (subscribers * statusMessageBytes * 1_000) / maxStatusBytesPerSecond;
  return Math.max(statusIntervalMs, Math.round(budgetMs));
}

/** Registers the agent service; calls that need another kind of target are refused. */
export function agentRoutes(options: AgentServiceOptions): (router: ConnectRouter) => void {
  const { clock, identity, engine, service, orders, serviceRoute } = options;
  const { isLeaving, onLeaving, configurationRevision } = options;
  let subscribers = 0;
  let sequence = 0n;

  const currentStatus = () => {
    sequence += 1n;
    const status = engine?.status;
    return {
      ...identity,
      ...(service && {
        models: [serviceRoute],
        incarnation: service.incarnation,
        running: service.running,
        places: service.slots,
        reportedLoad: service.running,
      }),
      ...(status && {
        ...status,
        models: [...status.models],
        adapters: [...status.adapters],
      }),
      leaving: isLeaving(),
      sequence,
      configurationRevision: configurationRevision(),
      intervalMs: statusIntervalFor(subscribers),
    };
  };

  const requireEngine = (): EngineWorker => {
    if (!engine) throw new ConnectError('this target is not an engine', Code.FailedPrecondition);
    return engine;
  };

  const requireService = (): ServiceWorker => {
    if (!service) throw new ConnectError('this target is not a service', Code.FailedPrecondition);
    return service;
  };

  const requireOrders = (): OrderExecutor => {
    if (!orders)
      throw new ConnectError('this target does not accept orders', Code.FailedPrecondition);
    return orders;
  };

  return (router) => {
    router.service(AgentService, {
      offer(req) {
        return engine?.offer(req) ?? { refusal: RefusalReason.MODEL };
      },
      async *dispatch(req, ctx) {
        const source = createCancellationSource();
        ctx.signal.addEventListener('abort', () => source.cancel('stream closed'));
        yield* requireEngine().dispatch(req, source.token);
      },
      async *resume(req, ctx) {
        const source = createCancellationSource();
        ctx.signal.addEventListener('abort', () => source.cancel('stream closed'));
        const chunks = requireEngine().resume(req, source.token);
        if (!chunks) throw new ConnectError('no such request', Code.NotFound);
        try {
          yield* chunks;
        } catch (err) {
          if (!(err instanceof ReplayWindowError)) throw err;
          throw new ConnectError(err.message, Code.OutOfRange);
        }
      },
      cancel(req) {
        return { found: requireEngine().cancel(req.requestId, req.attempt, req.team) };
      },
      async *call(parts, ctx) {
        const source = createCancellationSource();
        ctx.signal.addEventListener('abort', () => source.cancel('stream closed'));
        yield* requireService().call(parts, source.token);
      },
      result(req) {
        return requireService().result(req.attemptId, req.team);
      },
      async order(req) {
        const { fencingNumber, orderId, model, version, adapter, role } = req;
        if (!isOrderAction(req.action)) {
          throw new ConnectError(`unknown action "${req.action}"`, Code.InvalidArgument);
        }
        const { action } = req;
        const outcome = await requireOrders().execute({
          ...{ fencingNumber, orderId, action, model, version, adapter, role },
        });
        return { ...outcome, highestFencingNumber: BigInt(outcome.highestFencingNumber) };
      },
      async *watch(_req, ctx) {
        const source = createCancellationSource();
        ctx.signal.addEventListener('abort', () => source.cancel('stream closed'));
        subscribers += 1;
        try {
          while (!source.token.isCancellationRequested) {
            yield currentStatus();
            const waitSource = createCancellationSource(source.token);
            const leavingListener = isLeaving()
              ? undefined
              : onLeaving(() => waitSource.cancel('agent is leaving'));
            const intervalMs = statusIntervalFor(subscribers);
            await sleep(clock, intervalMs, waitSource.token).catch(() => undefined);
            leavingListener?.dispose();
            waitSource.dispose();
          }
        } finally {
          subscribers -= 1;
        }
      },
    });
  };
}
