/**
 * Distributes engines evenly, as builds without strengths do: the reference for equal strengths, and the other side in
 * deployments with both builds.
 */
import type { EngineAssignment, Handover } from '../../lib/engine-assignment.js'
import { rendezvousOrder } from '../../lib/rendezvous.js'

function countHeld ({ entries, holders }: EngineAssignment): Map<string, number> {
  return new Map(entries.map(entry => [entry, [...holders.values()].filter(holder => holder === entry).length]))
}

/** See `claimSequences`. */
export function evenClaimSequences (free: readonly string[], assignment: EngineAssignment): ReadonlyMap<string, readonly string[]> {
  const counts = countHeld(assignment)
  return new Map([...free].sort().map(engine => {
    const sequence = [...rendezvousOrder(engine, assignment.entries)].sort((a, b) => counts.get(a)! - counts.get(b)!)
    if (sequence[0] !== undefined) counts.set(sequence[0], counts.get(sequence[0])! + 1)
    return [engine, sequence]
  }))
}

/** See `pickHandover`. */
export function pickEvenHandover (self: string, assignment: EngineAssignment, mayMove: (engine: string) => boolean): Handover | undefined {
  const ranked = [...countHeld(assignment)].sort(([a, most], [b, least]) => least - most || (a < b ? -1 : 1))
  const [giver, most] = ranked[0] ?? ['', 0]
  const least = ranked.at(-1)?.[1] ?? 0
  if (giver !== self || most - least < 2) return undefined
  const receivers = ranked.filter(([, held]) => held === least).map(([entry]) => entry)
  const engine = [...assignment.holders].find(([id, holder]) => holder === self && mayMove(id))?.[0]
  return engine === undefined ? undefined : { engine, to: rendezvousOrder(engine, receivers)[0]! }
}
