/**
 * Distributes engines over the entries that hold them, in proportion to the strength of their hosts.
 */
import type { Ms } from '@hazelford/core'
import { rendezvousOrder } from './rendezvous.js'

/** The entries and the engines that they hold, as one entry sees them. */
export interface EngineAssignment {
  /** Running entries. */
  readonly entries: readonly string[]
  /** Holder of each engine that has one. */
  readonly holders: ReadonlyMap<string, string>
  /** Strength of each entry relative to that of the others; an entry without one counts as 1. */
  readonly strengths?: ReadonlyMap<string, number>
}

/** An engine that its holder releases for another entry to claim. */
export interface Handover { readonly engine: string, readonly to: string }

/**
 * Largest part of all engines that a strong entry may hold. An engine whose holder is lost gets no load orders until the
 * lease ends, some seconds; callers that find the adapter at another engine do not notice.
 */
const maxEntryShare = 0.1

/** The engines that an entry holds. */
interface HeldEngines {
  readonly entry: string
  readonly strength: number
  held: number
}

function countHeldEngines ({ entries, holders, strengths }: EngineAssignment): readonly HeldEngines[] {
  const counts = new Map(entries.map(entry => [entry, { entry, strength: strengths?.get(entry) ?? 1, held: 0 }]))
  for (const holder of holders.values()) {
    const count = counts.get(holder)
    if (count !== undefined) count.held++
  }
  return [...counts.values()]
}

/** Largest number of engines that one entry should hold; never under the even share. */
function maxHeld (engines: number, entries: number): number {
  return Math.max(Math.ceil(engines / entries), Math.floor(engines * maxEntryShare))
}

/** Engines that an entry would hold with one more, by its strength. */
function loadWithOneMore ({ held, strength }: HeldEngines): number { return (held + 1) / strength }

/** Orders the entries that may receive one more engine first; among them, those with the lowest load. */
function compareReceivers (a: HeldEngines, b: HeldEngines, limit: number): number {
  return Number(a.held >= limit) - Number(b.held >= limit) || loadWithOneMore(a) - loadWithOneMore(b)
}

/**
 * Decides in which sequence the entries claim each engine that has no holder.
 *
 * Entries that would hold the fewest engines by their strength come first, so that weak hosts do little work for others,
 * and the loss of one entry leaves few engines without a holder. By rendezvous order alone, the entry that outlives a
 * rolling restart ends up with every engine; if it is frozen then, no engine gets any orders.
 *
 * @param free - engines without a holder
 * @param assignment - entries, their strengths and the holders
 * @returns for each engine the entries, the first one to claim it first; the same on all entries with the same view
 */
export function claimSequences (free: readonly string[], assignment: EngineAssignment): ReadonlyMap<string, readonly string[]> {
  const counts = new Map(countHeldEngines(assignment).map(count => [count.entry, count]))
  const limit = maxHeld(assignment.holders.size + free.length, counts.size)
  const sequences = new Map<string, readonly string[]>()
  for (const engine of [...free].sort()) {
    const sequence = [...rendezvousOrder(engine, assignment.entries)].sort((a, b) => compareReceivers(counts.get(a)!, counts.get(b)!, limit))
    sequences.set(engine, sequence)
    const [first] = sequence
    if (first !== undefined) counts.get(first)!.held++
  }
  return sequences
}

/** Orders the entries that should give engines away first. */
function compareGivers (a: HeldEngines, b: HeldEngines, limit: number): number {
  return Number(b.held > limit) - Number(a.held > limit) || b.held / b.strength - a.held / a.strength || (a.entry < b.entry ? -1 : 1)
}

/** Whether the higher of two loads falls by a handover, or the giver exceeds its bound. */
function isWorthwhile (giver: HeldEngines, receiver: HeldEngines, limit: number): boolean {
  return receiver.held < limit && (giver.held > limit || loadWithOneMore(receiver) < giver.held / giver.strength)
}

/**
 * Finds the engine that an entry should hand over.
 *
 * Only the entry with the highest load by its strength hands one over, and to one with the lowest: with several entries
 * handing over at once, the receiver would end up with too many. The load of the receiver stays below that of the giver
 * before, so that engines do not move in circles.
 *
 * @param self - the entry that decides whether to hand one over
 * @param assignment - entries that can receive engines, their strengths, and holders
 * @param mayMove - whether an engine may change its holder now
 * @returns undefined when the engines are distributed by strength, or when another entry has to hand one over
 */
export function pickHandover (self: string, assignment: EngineAssignment, mayMove: (engine: string) => boolean): Handover | undefined {
  const counts = countHeldEngines(assignment)
  const limit = maxHeld(assignment.holders.size, counts.length)
  const [giver] = [...counts].sort((a, b) => compareGivers(a, b, limit))
  const [best] = [...counts].sort((a, b) => compareReceivers(a, b, limit))
  if (giver?.entry !== self || best === undefined || !isWorthwhile(giver, best, limit)) return undefined
  const receivers = counts.filter(count => compareReceivers(count, best, limit) === 0).map(({ entry }) => entry)
  const engine = [...assignment.holders].find(([id, holder]) => holder === self && mayMove(id))?.[0]
  return engine === undefined ? undefined : { engine, to: rendezvousOrder(engine, receivers)[0]! }
}

/** Margin on the holder turn, for an order that was still on its way when its sender released the engine. */
const holderTurnMargin: Ms = 300

/**
 * Engines that this entry has released and may not claim again before one holder turn has passed.
 *
 * An engine that gets orders of entry A, then of B, then of A again within one holder turn can't distinguish them from
 * the orders of two entries that both believe to be its holder. So an entry that has released an engine waits for one
 * holder turn before it claims that engine again. A third entry may claim it at once.
 *
 * The releases are kept in memory only. A process that has just started counts as having released, at its start, the
 * engines that its predecessor held lately.
 */
export class ReclaimCooldown {
  private readonly _releasedAt = new Map<string, Ms>()

  /** @param _holderTurn - ms within which an engine must not get orders of one entry both before and after those of another */
  constructor (private readonly _holderTurn: Ms) {}

  /** Records that this entry has released an engine. */
  recordRelease (engine: string, now: Ms): void { this._releasedAt.set(engine, now) }

  /** Whether this entry may claim an engine of which another entry may have been the holder since. */
  mayReclaim (engine: string, now: Ms): boolean {
    const releasedAt = this._releasedAt.get(engine)
    if (releasedAt === undefined) return true
    if (!this.isOver(releasedAt, now)) return false
    this._releasedAt.delete(engine)
    return true
  }

  /** Whether an entry that sent its last order at some time may send orders again after those of another entry. */
  isOver (lastOrderAt: Ms, now: Ms): boolean { return now - lastOrderAt >= this._holderTurn + holderTurnMargin }
}
