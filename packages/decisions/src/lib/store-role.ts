/**
 * Decides which entries watch the store and which follow those that do.
 */
import { rendezvousOrder } from './rendezvous.js'

/** An entry as it is listed for all entries. */
export interface ListedEntry {
  readonly node: string
  /** Availability zone; undefined for an entry of a version that does not report it. */
  readonly zone?: string
  /** Rate of its link in Mbit/s; undefined where it is not known. */
  readonly linkMbps?: number
}

/** How an entry learns of changes in the store. */
export type StoreRole =
  /** `hasFollowers`: whether other entries learn of changes from this one. */
  | { readonly kind: 'watch', readonly watchers: number, readonly hasFollowers: boolean }
  /** `watchersToAsk`: the entries that watch the store, the first one to ask first. */
  | { readonly kind: 'follow', readonly watchersToAsk: readonly string[] }

/**
 * Number of entries up to which each of them watches the store itself. The store's load grows with the number of entries
 * that watch it. With few entries this load is low, and no entry depends on another one for changes in the store.
 */
const allWatchUpTo = 8
/** Entries of one availability zone per watcher there: with 68 entries in six zones, each zone has two watchers. */
const entriesPerWatcher = 8
/**
 * Rendezvous key of the election, so that the watchers of a zone are independent of other rendezvous orders of the same
 * nodes.
 */
const electionKey = 'store-watch'

/**
 * Chooses the watchers of a zone: those with the fastest links, as a watcher reads uncompressed answers of the store and
 * its followers receive changes only after it has.
 */
function watchersOf (entries: readonly ListedEntry[]): readonly string[] {
  const rateOf = new Map(entries.map(({ node, linkMbps = 0 }) => [node, linkMbps]))
  return [...rendezvousOrder(electionKey, [...rateOf.keys()])]
    .sort((a, b) => rateOf.get(b)! - rateOf.get(a)!)
    .slice(0, Math.ceil(entries.length / entriesPerWatcher))
}

function byZone (entries: readonly ListedEntry[]): ReadonlyMap<string, readonly ListedEntry[]> {
  const zones = new Map<string, ListedEntry[]>()
  for (const entry of entries) zones.set(entry.zone ?? '', [...(zones.get(entry.zone ?? '') ?? []), entry])
  return zones
}

/**
 * Decides an entry's role towards the store. All entries with the same list of entries decide alike. Entries with
 * different lists may differ for as long as the lists do: more of them watch then, or a follower is asked, which
 * reports the age of its view.
 *
 * The store counts each call, and with many entries nearly all calls would be watches of the same changes; this bounds
 * their number.
 *
 * @param self - the entry
 * @param entries - all entries
 */
export function storeRole (self: string, entries: readonly ListedEntry[]): StoreRole {
  const own = entries.find(({ node }) => node === self)
  if (own === undefined || entries.length <= allWatchUpTo) return { kind: 'watch', watchers: Math.max(1, entries.length), hasFollowers: false }
  const sameZone: string[] = []
  const otherZones: string[] = []
  for (const [zone, listed] of byZone(entries)) (zone === (own.zone ?? '') ? sameZone : otherZones).push(...watchersOf(listed))
  if (sameZone.includes(self)) return { kind: 'watch', watchers: sameZone.length + otherZones.length, hasFollowers: true }
  // The followers of a zone are spread over its watchers; watchers of other zones are the last resort.
  return { kind: 'follow', watchersToAsk: [...rendezvousOrder(self, sameZone), ...rendezvousOrder(self, otherZones)] }
}
