import { startEngine } from './engine.mjs';
import { createMachine } from './gateway.mjs';
import { startStore } from './store.mjs';

export const model = 'daka510000';
export const host = 'jepu9.example';
export const key = 'ctnfzs989anu6wsjnban';
export const zones = ['lj-north', 'lj-south', 'kranj-a'];

/** Config of a small deployment: the routes, engines and limits of lucka-hq. */
export const configOf = (version) => ({
  version,
  routes: [
    {
      name: 'fit',
      host,
      prefix: '/fit/',
      kind: 'streaming',
      timeoutMs: 4_000,
      sloMs: 400,
      priority: 1,
      service: 'llm',
      attempts: 2,
      public: false,
      sticky: true,
      resumable: true,
      gapSloMs: 300,
    },
    {
      name: 'reply',
      host,
      prefix: '/reply/',
      kind: 'streaming',
      timeoutMs: 12_000,
      sloMs: 600,
      priority: 0,
      service: 'llm',
      attempts: 1,
      public: false,
      sticky: true,
      resumable: false,
      gapSloMs: 300,
    },
    {
      name: 'reserve',
      host,
      prefix: '/reserve/',
      kind: 'unsafe',
      timeoutMs: 1_500,
      sloMs: 193,
      priority: 2,
      service: 'desk',
      attempts: 1,
      public: false,
    },
    {
      name: 'look',
      host,
      prefix: '/look/',
      kind: 'safe',
      timeoutMs: 1_500,
      sloMs: 193,
      priority: 2,
      service: 'desk',
      attempts: 2,
      public: false,
    },
  ],
  services: [
    {
      name: 'llm',
      healthPath: '/health',
      maxConns: 370,
      proto: 'h1',
      tls: false,
      engine: {
        slots: 64,
        kvCapacity: 117_426,
        kvTokenBytes: 18_432,
        linkMbps: 130_000,
        maxInflight: 12,
        pinMs: 4_000,
        holdMs: 2_000,
        handle_s: 5,
        models: [{ name: model }],
      },
    },
    { name: 'desk', healthPath: '/health', maxConns: 110, proto: 'h1', tls: false },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'sese880', apiKeys: [key], priority: 1, isolated: false }],
});

/** Starts the store with a first config, engines of both services, and one gateway in each zone. */
export async function startSite(
  record,
  { llm = 4, desk = 3, gateways = 3, llmOptions, deskOptions } = {},
) {
  const store = await startStore(record);
  const written = new Map();
  /** Changes of the operator that wait for the store. */
  const waiting = [];
  /** The operator's write to `op`; it is repeated when the store has lost it. */
  const operate = (name, value) => {
    written.set(name, value);
    record.add(`operator writes op/${name}${value.model ? ` version ${value.version}` : ''}`);
    return store.put('op', name, value);
  };
  const writeAgain = () => {
    for (const [name, value] of written) store.put('op', name, value);
    record.add('operator has written its rows again');
    for (const change of waiting.splice(0)) change();
  };
  store.onRestored(writeAgain, true);
  operate('config', configOf(1));
  operate(`version/${model}`, { model, version: 1 });
  const engines = [];
  const common = { store, record };
  const startLlm = async (options = {}) => {
    const index = engines.length;
    const zone = zones[index % zones.length];
    const id = `llm-${index}`;
    const engine = await startEngine({
      ...{ ...common, id, service: 'llm', zone, model, slots: 64 },
      ...options,
    });
    engines.push(engine);
    return engine;
  };
  for (let index = 0; index < llm; index += 1) await startLlm(llmOptions);
  const desks = [];
  const startDesk = async (options = {}) => {
    const index = desks.length;
    const zone = zones[index % zones.length];
    const id = `desk-${index}`;
    const engine = await startEngine({
      ...common,
      id,
      service: 'desk',
      zone,
      slots: 6,
      ...options,
    });
    desks.push(engine);
    return engine;
  };
  for (let index = 0; index < desk; index += 1) await startDesk(deskOptions);
  const machines = [];
  for (let index = 0; index < gateways; index += 1) {
    const zone = zones[index % zones.length];
    machines.push(
      await createMachine({
        name: `front-${zone}-${1 + Math.floor(index / zones.length)}`,
        zone,
        storePort: store.port,
        record,
      }),
    );
  }
  for (const machine of machines) machine.start();
  const site = {
    store,
    engines,
    desks,
    machines,
    operate,
    startDesk,
    startLlm,
    /** The operator changes a row as soon as the store is back. */
    operateOnceRestored: (name, value, onWritten) =>
      waiting.push(() => {
        operate(name, value);
        onWritten();
      }),
    nameWeights: (version) => operate(`version/${model}`, { model, version }),
    async isReady() {
      for (const machine of machines) if (!(await machine.isReady())) return false;
      return true;
    },
    async close() {
      for (const machine of machines) await machine.close();
      for (const engine of [...engines, ...desks]) await engine.close();
      await store.close();
    },
  };
  return site;
}
