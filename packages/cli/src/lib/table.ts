/**
 * Plain-text tables with aligned columns.
 */

/**
 * Formats rows as a table.
 *
 * @param head - column names
 * @param rows - cells
 */
export function formatTable (head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((name, column) => Math.max(name.length, ...rows.map(row => row[column]?.length ?? 0)))
  const line = (cells: readonly string[]): string =>
    cells.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()
  return [line(head), ...rows.map(line)].join('\n')
}
