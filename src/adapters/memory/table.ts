import {
  type TableItem,
  type TableKey,
  type TablePort,
  type TableWrite,
} from '../../ports/table.js';

/** Creates an in-memory table for the quickstart, tests and measurements. */
export function createMemoryTable(): TablePort {
  const partitions = new Map<string, Map<string, TableItem>>();

  const find = ({ partition, sort }: TableKey): TableItem | undefined =>
    partitions.get(partition)?.get(sort);

  const isConditionMet = (write: TableWrite): boolean =>
    (find(write)?.version ?? 0) === write.condition.version;

  const apply = (write: TableWrite): void => {
    const { partition, sort, value, remove, condition } = write;
    if (remove) {
      partitions.get(partition)?.delete(sort);
      return;
    }
    if (value === undefined) return;
    const items = partitions.get(partition) ?? new Map<string, TableItem>();
    partitions.set(partition, items);
    items.set(sort, { partition, sort, value, version: condition.version + 1 });
  };

  return {
    get: async (key) => find(key),
    async query(partition, after, limit) {
      const items = [...(partitions.get(partition)?.values() ?? [])];
      return items
        .filter(({ sort }) => sort > after)
        .sort((a, b) => (a.sort < b.sort ? -1 : 1))
        .slice(0, limit);
    },
    async transact(writes) {
      if (!writes.every(isConditionMet)) return 'conflict';
      for (const write of writes) apply(write);
      return 'committed';
    },
  };
}
