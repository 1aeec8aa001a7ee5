import { type Random } from '../../src/base/random.js';
import { type TargetBehaviour, type TargetStandin } from '../standins/platform/target.js';
import { graceMs, type GatewayProcess } from './process.js';

export type FaultHandlers = Readonly<Record<string, (faultMs: number) => Promise<void>>>;

export interface PlannedFaultOptions {
  readonly random: Random;
  readonly gateways: readonly GatewayProcess[];
  readonly targets: readonly TargetStandin[];
  /** Kills a process that does not exit by itself, which is an impairment. */
  kill(gateway: GatewayProcess): Promise<void>;
}

/** Time that a stopping process gets before it is killed. */
const exitTimeoutMs = graceMs + 1_500;

const maxSignalGapMs = 800;

/** A process that starts may get SIGHUP within this time. */
const maxEarlyMs = 400;

/** Answers longer than the 256 KiB that a gateway buffers. */
const longAnswerBytes = 400_000;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Planned stops in series, and sound targets that pause, shed or send long answers. */
export function createPlannedFaults(options: PlannedFaultOptions): FaultHandlers {
  const { random, gateways, targets } = options;

  const pickGateway = (): GatewayProcess =>
    gateways[random.integer(gateways.length)] as GatewayProcess;

  const restart = async (gateway: GatewayProcess): Promise<void> => {
    const stoppedAt = performance.now();
    while (gateway.isRunning && performance.now() - stoppedAt < exitTimeoutMs) await pause(20);
    if (gateway.isRunning) await options.kill(gateway);
    gateway.start();
  };

  const behave = async (
    service: string,
    change: Partial<TargetBehaviour>,
    durationMs: number,
  ): Promise<void> => {
    const affected = targets.filter(({ id }) => id.startsWith(service));
    for (const target of affected) target.behaviour = { ...target.behaviour, ...change };
    await pause(durationMs);
    for (const target of affected) {
      const { pause: _pause, hasCopies: _copies, answerBytes: _bytes, ...rest } = target.behaviour;
      target.behaviour = { ...rest, fault: 'none' };
    }
  };

  return {
    stopSeveral: async () => {
      const first = random.integer(gateways.length);
      const stopped = gateways.filter((_gateway, index) => index !== first);
      for (const gateway of stopped) gateway.signal('SIGTERM');
      await Promise.all(stopped.map(restart));
    },
    stopTwice: async () => {
      const gateway = pickGateway();
      gateway.signal('SIGTERM');
      await pause(random.next() * maxSignalGapMs);
      gateway.signal('SIGTERM');
      await restart(gateway);
    },
    stopAndReload: async () => {
      const gateway = pickGateway();
      gateway.signal('SIGTERM');
      await restart(gateway);
      await pause(random.next() * maxEarlyMs);
      gateway.signal('SIGHUP');
      await pause(maxEarlyMs);
      if (!gateway.isRunning) gateway.start();
    },
    shedService: async (faultMs) => behave('desk', { fault: 'full' }, 1_500 + faultMs),
    pausedStreams: async (faultMs) => {
      const durationMs = 1_000 + random.next() * 1_000;
      const stalled = { pause: { beforeEvent: 3, durationMs }, hasCopies: false };
      await behave('llm', stalled, 500 + faultMs);
    },
    longAnswers: async (faultMs) => behave('desk', { answerBytes: longAnswerBytes }, 500 + faultMs),
    cutLongAnswers: async (faultMs) =>
      behave('desk', { answerBytes: longAnswerBytes, fault: 'cut' }, 200 + faultMs / 4),
    falseRefusals: async (faultMs) => behave('desk', { fault: 'falseRefusal' }, 200 + faultMs / 4),
  };
}
