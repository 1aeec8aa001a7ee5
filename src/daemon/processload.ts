import { type Server } from 'node:http';
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import { type Clock } from '../base/clock.js';
import { createLoopMeter, type DelayMeter } from '../base/eventloop.js';
import { type Disposable } from '../base/lifecycle.js';
import { type Logger } from '../base/logging.js';

/** Measures whether a process handles the events of its sockets without delay. */
export interface ProcessLoad extends Disposable {
  /** Records how long a new connection to a target took. */
  observeConnect(durationMs: number): void;
}

export interface ProcessLoadOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly registry: Registry;
  readonly callerServer: Server;
  readonly delay: DelayMeter;
  /** Number of requests in progress. */
  active(): number;
}

const sampleMs = 1_000;

/** From this utilization on, sockets wait for the process; a warning is logged once a second. */
const busyUtilization = 0.9;

/** Upper bounds in seconds; connecting within a site takes 2 to 3 ms and times out after 300 ms. */
const connectBuckets = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.3];

/**
 * Measures the event loop once a second. Node accepts one connection in each iteration, so callers
 * wait in the accept queue when there are about as many new connections as iterations.
 */
export function watchProcessLoad(options: ProcessLoadOptions): ProcessLoad {
  const { clock, log, registry, callerServer, delay, active } = options;
  const registers = [registry];
  const loopMeter = createLoopMeter();
  let acceptedConnections = 0;
  let timer: Disposable | undefined;
  const utilization = new Gauge({
    name: 'cicadatide_event_loop_utilization',
    help: 'Share of the last second in which the event loop had work.',
    registers,
  });
  const iterations = new Counter({
    name: 'cicadatide_event_loop_iterations_total',
    help: 'Iterations of the event loop.',
    registers,
  });
  const loopDelay: Gauge = new Gauge({
    name: 'cicadatide_event_loop_delay_seconds',
    help: 'Longest delay of a timer in the last second.',
    registers,
    collect() {
      loopDelay.set(delay.recentMs / 1_000);
    },
  });
  const connections = new Counter({
    name: 'cicadatide_connections_total',
    help: 'Connections accepted from callers.',
    registers,
  });
  const connectSeconds = new Histogram({
    name: 'cicadatide_connect_seconds',
    help: 'Time until a new connection to a target was established.',
    buckets: connectBuckets,
    registers,
  });
  const onConnection = (): void => {
    acceptedConnections += 1;
  };
  callerServer.on('connection', onConnection);

  const sample = (): void => {
    const usage = loopMeter.read();
    utilization.set(usage.utilization);
    iterations.inc(usage.iterations);
    connections.inc(acceptedConnections);
    if (usage.utilization >= busyUtilization) {
      log.warn(
        {
          utilization: Number(usage.utilization.toFixed(2)),
          iterations: usage.iterations,
          connections: acceptedConnections,
          active: active(),
        },
        'event loop is busy; sockets wait to be read',
      );
    }
    acceptedConnections = 0;
    timer = clock.setTimer(sampleMs, sample);
  };
  timer = clock.setTimer(sampleMs, sample);

  return {
    observeConnect: (durationMs) => connectSeconds.observe(durationMs / 1_000),
    dispose() {
      timer?.dispose();
      callerServer.off('connection', onConnection);
    },
  };
}
