/** Formats rows as a table with aligned columns; the first row contains the titles. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const columns = rows[0]?.length ?? 0;
  const widths = Array.from({ length: columns }, (_value, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  '))
    .map((line) => line.trimEnd())
    .join('\n');
}

/** Formats a JSON value on one line; an absent value becomes a dash. */
export function formatValue(value: unknown): string {
  return value === undefined ? '-' : JSON.stringify(value);
}
