/**
 * Decides which entries watch the store and which hear of it from those.
 */
import { rendezvousOrder } from './rendezvous.js'

/** An entry as all entries list it. */
export interface ListedEntry {
  readonly node: string
  /** Undefined for an entry of a version that does not say. */
  readonly zone?: string
}

/** How an entry hears of changes in the store. */
export type StoreRole =
  /** `served`: whether others hear of them from this one. */
  | { readonly kind: 'watch', readonly watchers: number, readonly hasFollowers: boolean }
  /** `from`: watchers, the one to ask first at the front. */
  | { readonly kind: 'follow', readonly watchersToAsk: readonly string[] }

/**
 * Entries up to which each watches by itself. What watching costs grows with their number; for a few it is little,
 * and each hears the store without another one's help.
 */
const allWatchUpTo = 8
/** Entries of one availability zone for each of its watchers: with 68 entries in six zones each has two. */
const entriesPerWatcher = 8
/** Makes the watchers of a zone others than the first in any other order of the same nodes. */
const electionKey = 'store-watch'

function watchersOf (nodes: readonly string[]): readonly string[] {
  return rendezvousOrder(electionKey, nodes).slice(0, Math.ceil(nodes.length / entriesPerWatcher))
}

function byZone (entries: readonly ListedEntry[]): ReadonlyMap<string, readonly string[]> {
  const zones = new Map<string, string[]>()
  for (const { node, zone = '' } of entries) zones.set(zone, [...(zones.get(zone) ?? []), node])
  return zones
}

/**
 * Decides an entry's part. All that list the same entries decide alike; those that don't differ for as long as their lists do,
 * and then more watch, or somebody is asked who follows and says how old its news is.
 *
 * Answers the load of many entries at the store, which counts each call: nearly all
 * were watches of the same changes.
 *
 * @param self - the entry
 * @param entries - all of them
 */
export function storeRole (self: string, entries: readonly ListedEntry[]): StoreRole {
  const own = entries.find(({ node }) => node === self)
  if (own === undefined || entries.length <= allWatchUpTo) return { kind: 'watch', watchers: Math.max(1, entries.length), hasFollowers: false }
  const sameZone: string[] = []
  const otherZones: string[] = []
  for (const [zone, nodes] of byZone(entries)) (zone === (own.zone ?? '') ? sameZone : otherZones).push(...watchersOf(nodes))
  if (sameZone.includes(self)) return { kind: 'watch', watchers: sameZone.length + otherZones.length, hasFollowers: true }
  // Followers of one zone spread over its watchers; one of another zone is the last resort.
  return { kind: 'follow', watchersToAsk: [...rendezvousOrder(self, sameZone), ...rendezvousOrder(self, otherZones)] }
}
