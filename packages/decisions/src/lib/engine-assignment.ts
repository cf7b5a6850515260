/**
 * Spreads engines evenly over the entries that order them.
 */
import type { Ms } from '@hazelford/core'
import { rendezvousOrder } from './rendezvous.js'

/** Who orders what, as one entry sees it. */
export interface EngineAssignment {
  /** Entries that live. */
  readonly entries: readonly string[]
  /** Holder of each engine that has one. */
  readonly holders: ReadonlyMap<string, string>
}

/** An engine to be given to another entry. */
export interface Handover { readonly engine: string, readonly to: string }

function countHeldEngines ({ entries, holders }: EngineAssignment): Map<string, number> {
  const counts = new Map(entries.map(entry => [entry, 0]))
  for (const holder of holders.values()) {
    const count = counts.get(holder)
    if (count !== undefined) counts.set(holder, count + 1)
  }
  return counts
}

/**
 * Says in which order entries claim engines that nobody orders.
 *
 * Who holds least goes first, so that the loss of one entry leaves few engines without orders.
 * By rendezvous order alone the entry that outlives a rolling restart ends with every engine; frozen then,
 * it leaves all of them without orders.
 *
 * @param free - engines without a holder
 * @param assignment - entries and holders
 * @returns for each engine the entries, the first to claim it first; alike on all entries with the same view
 */
export function claimSequences (free: readonly string[], assignment: EngineAssignment): ReadonlyMap<string, readonly string[]> {
  const counts = countHeldEngines(assignment)
  const sequences = new Map<string, readonly string[]>()
  for (const engine of [...free].sort()) {
    const sequence = [...rendezvousOrder(engine, assignment.entries)].sort((a, b) => counts.get(a)! - counts.get(b)!)
    sequences.set(engine, sequence)
    const [first] = sequence
    if (first !== undefined) counts.set(first, counts.get(first)! + 1)
  }
  return sequences
}

/** Difference in engines held from which one is handed over; at 1 they would go back and forth. */
const minImbalance = 2

/**
 * Finds the engine that an entry should hand over.
 *
 * Only the entry that holds most gives, and to the one that holds least: several givers at once
 * would leave the receiver with too many.
 *
 * @param self - the entry that asks
 * @param assignment - entries that can take engines, and holders
 * @param mayMove - whether an engine may change hands now
 * @returns undefined when the engines are even, or somebody else has to give
 */
export function pickHandover (self: string, assignment: EngineAssignment, mayMove: (engine: string) => boolean): Handover | undefined {
  const ranked = [...countHeldEngines(assignment)].sort(([a, most], [b, least]) => least - most || (a < b ? -1 : 1))
  const [giver, most] = ranked[0] ?? ['', 0]
  const least = ranked.at(-1)?.[1] ?? 0
  if (giver !== self || most - least < minImbalance) return undefined
  const receivers = ranked.filter(([, held]) => held === least).map(([entry]) => entry)
  const engine = [...assignment.holders].find(([id, holder]) => holder === self && mayMove(id))?.[0]
  return engine === undefined ? undefined : { engine, to: rendezvousOrder(engine, receivers)[0]! }
}

/** Left over of a turn, for an order that was still on its way when its sender stopped ordering. */
const holderTurnMargin: Ms = 300

/**
 * Engines that an entry has ordered and does not any more.
 *
 * Two holders that order one engine in turn look to it like two that don't know of each other: first A, then B, then A
 * again. It shows as orders of A around one of B within a turn. Whoever has left an engine to another
 * therefore leaves it alone until the turn is over; a third entry may claim it at once.
 *
 * A restart forgets this, and needs no more: an entry that is told to stop orders nothing from then on and still serves for
 * longer than most of a turn, and one that is killed finds its own keys.
 */
export class ReclaimCooldown {
  private readonly _releasedAt = new Map<string, Ms>()

  /** @param _holderTurn - ms within which two holders must not take turns */
  constructor (private readonly _holderTurn: Ms) {}

  /** Notes that an engine is ordered no more by this entry. */
  left (engine: string, now: Ms): void { this._releasedAt.set(engine, now) }

  /** Whether an engine that another may have ordered since can be claimed. */
  mayReclaim (engine: string, now: Ms): boolean {
    const releasedAt = this._releasedAt.get(engine)
    if (releasedAt === undefined) return true
    if (now - releasedAt < this._holderTurn + holderTurnMargin) return false
    this._releasedAt.delete(engine)
    return true
  }
}
