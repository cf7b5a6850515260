/**
 * Strengths of entries' hosts, by which work for other entries is distributed.
 */

/** An entry as registered, with the strength of its host. */
export interface RegisteredEntry {
  readonly node: string
  /** Processor share times speed, in cores; 0 where it is not known, undefined from an entry of a version that does not send it. */
  readonly cores?: number
}

function isKnown (cores: number | undefined): cores is number { return cores !== undefined && Number.isFinite(cores) && cores > 0 }

function median (values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor((sorted.length - 1) / 2)]
}

/**
 * Computes the strength of each entry.
 *
 * An entry of a version that does not send its strength distributes engines evenly. If the others distributed them by
 * strength meanwhile, both would hand the same engines to each other for as long as it runs, so then all count as equal.
 *
 * @param entries - all listed entries
 * @returns strength by entry, relative to that of other entries; an unknown one is the median of those known
 */
export function entryStrengths (entries: readonly RegisteredEntry[]): ReadonlyMap<string, number> {
  const known = entries.map(({ cores }) => cores).filter(isKnown)
  const isMixed = entries.some(({ cores }) => cores === undefined)
  const typical = isMixed ? undefined : median(known)
  if (typical === undefined) return new Map(entries.map(({ node }) => [node, 1]))
  return new Map(entries.map(({ node, cores }) => [node, isKnown(cores) ? cores : typical]))
}
