/** One difference between two JSON values; an absent side is undefined. */
export interface Difference {
  /** Fields from the root, joined with dots. */
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Lists the differences field by field; arrays are compared as a whole. */
export function diffValues(before: unknown, after: unknown, path = ''): readonly Difference[] {
  if (isObject(before) && isObject(after)) {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    return names.flatMap((name) =>
      diffValues(before[name], after[name], path ? `${path}.${name}` : name),
    );
  }
  if (JSON.stringify(before) === JSON.stringify(after)) return [];
  return [{ path, before, after }];
}
