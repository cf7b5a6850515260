/**
 * Finds the line of a key, since the TOML library returns values without positions.
 */

const tableHeader = /^\s*\[\[?([^\]]+)\]\]?/
const keyLine = /^\s*("[^"]*"|[\w.-]+)\s*=/

/** Removes quotes and white space from a dotted name. */
function plainPath (dotted: string): string {
  return dotted.replaceAll(/["'\s]/g, '')
}

/**
 * Maps dotted paths to lines.
 *
 * @param text - TOML text
 * @returns 1-based line by path; for a table the line of its header
 */
export function indexLines (text: string): ReadonlyMap<string, number> {
  const lines = new Map<string, number>()
  let table = ''
  for (const [at, line] of text.split('\n').entries()) {
    const header = tableHeader.exec(line)?.[1]
    if (header !== undefined) {
      table = plainPath(header)
      lines.set(table, at + 1)
      continue
    }
    const key = keyLine.exec(line)?.[1]
    if (key === undefined) continue
    const path = table === '' ? plainPath(key) : `${table}.${plainPath(key)}`
    lines.set(path, at + 1)
  }
  return lines
}

/**
 * Line of a path, or of the nearest enclosing table.
 *
 * @param lines - from {@link indexLines}
 * @param path - the key's parts
 * @returns the 1-based line, or 0 when neither the path nor an enclosing table is in the text
 */
export function lineOf (lines: ReadonlyMap<string, number>, path: readonly PropertyKey[]): number {
  for (let length = path.length; length > 0; length--) {
    const line = lines.get(path.slice(0, length).join('.'))
    if (line !== undefined) return line
  }
  return 0
}
