import { readFile } from 'node:fs/promises';
import { totalmem } from 'node:os';
import { type Machine } from '../callerlimits/derivedlimits.js';

/** Section `[machine]` of the settings. */
export interface MachineSettings {
  /** Bytes; undefined when the settings name none. */
  readonly memory: number | undefined;
  readonly descriptors: number | undefined;
}

/** Descriptors when the limit of the process can't be read: the usual limit of a service. */
const defaultDescriptors = 1_024;

async function readNumber(path: string, pattern: RegExp): Promise<number | undefined> {
  const text = await readFile(path, 'utf8').catch(() => '');
  const [, digits] = pattern.exec(text) ?? [];
  return digits === undefined ? undefined : Number(digits);
}

/** Part of the machine that the process may use, by its settings or else by its own limits. */
export async function readMachine({
  memory,
  descriptors,
}: Partial<MachineSettings> = {}): Promise<Machine> {
  const groupBytes = await readNumber('/sys/fs/cgroup/memory.max', /^(\d+)/);
  const openFiles = await readNumber('/proc/self/limits', /^Max open files\s+(\d+)/m);
  return {
    memoryBytes: memory ?? Math.min(totalmem(), groupBytes ?? Infinity),
    descriptors: descriptors ?? openFiles ?? defaultDescriptors,
  };
}
