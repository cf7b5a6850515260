/**
 * Suggests the known name that is closest to an unknown one.
 */

/** Levenshtein distance between two names. */
function editDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const replaced = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(replaced, row[j]! + 1, next[j - 1]! + 1))
    }
    row = next
  }
  return row[b.length]!
}

/**
 * Finds the known name closest to an unknown one.
 *
 * @param wrong - the unknown name
 * @param known - all known names
 * @returns the closest name, or undefined when none is within half of the name's length
 */
export function nearestName (wrong: string, known: readonly string[]): string | undefined {
  const limit = Math.max(1, Math.floor(wrong.length / 2))
  const ranked = known
    .map(name => ({ name, distance: editDistance(wrong, name) }))
    .sort((a, b) => a.distance - b.distance)
  const best = ranked[0]
  return best !== undefined && best.distance <= limit ? best.name : undefined
}
