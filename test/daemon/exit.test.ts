import { expect, it } from 'vitest';
import { signalAction } from '../../src/daemon/exit.js';
import { type StopSignal } from '../../src/daemon/signals.js';

const sequences: readonly (readonly StopSignal[])[] = [
  ['SIGTERM', 'SIGTERM', 'SIGTERM'],
  ['SIGTERM', 'SIGINT', 'SIGTERM', 'SIGINT'],
  ['SIGINT', 'SIGTERM', 'SIGINT'],
  ['SIGINT', 'SIGINT'],
];

it('only a second SIGINT shortens a stop', () => {
  const actions = sequences.map((signals) =>
    signals
      .map((signal, index) => `${signal} ${signalAction(signal, signals.slice(0, index))}`)
      .join(', '),
  );
  expect(actions).toMatchInlineSnapshot(`
    [
      "SIGTERM drain, SIGTERM continue, SIGTERM continue",
      "SIGTERM drain, SIGINT continue, SIGTERM continue, SIGINT interrupt",
      "SIGINT drain, SIGTERM continue, SIGINT interrupt",
      "SIGINT drain, SIGINT interrupt",
    ]
  `);
});
