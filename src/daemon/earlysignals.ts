import { createSignalQueue } from './signals.js';

/** Import this module first, so that signals are handled while the others are evaluated. */
export const signals = createSignalQueue();
