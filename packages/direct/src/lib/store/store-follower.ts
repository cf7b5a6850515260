/**
 * Receives changes in the store from the entries that watch the store.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms } from '@hazelford/core'
import type { StoreRole } from '@hazelford/decisions'
import { eraOf } from '@hazelford/ports'
import type { FeedAnswer, FeedChanges } from './change-feed.js'
import type { PeerAddress } from '../peers/peer-table.js'

/** What a follower needs. */
export interface StoreFollowerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly role: () => StoreRole
  readonly peer: (node: string) => PeerAddress | undefined
  readonly poll: (peer: PeerAddress, after: number, wait: Ms) => Promise<FeedAnswer>
  /** Age of a watcher's view up to which the watcher's changes are used. */
  readonly bound: () => Ms
}

/**
 * How long a watcher holds a poll open when there are no changes. A watcher that has crashed is noticed by the call's
 * timeout, a little later.
 */
const longestWait: Ms = 400
/** How long a watcher that failed, or had a stale view, is skipped. */
const skipFor: Ms = 3_000
/** Number of watchers tried before the store itself is read. */
const maxPolled = 2

/** Changes received from a watcher. */
export interface FollowedChanges extends FeedChanges {
  /** When the poll was sent. */
  readonly polledAt: Instant
}

/** Follows watchers while this entry does not watch the store itself. */
export class StoreFollower {
  /** Watchers to skip, and until when. */
  private readonly _skippedUntil = new Map<string, Ms>()

  constructor (private readonly _options: StoreFollowerOptions) {}

  /**
   * Polls a watcher for changes.
   *
   * @param after - latest revision that this entry has
   * @returns undefined when the store itself must be read: this entry watches it, or no watcher has a usable view
   */
  async changes (after: number): Promise<FollowedChanges | undefined> {
    const { clock, role, peer } = this._options
    const own = role()
    if (own.kind === 'watch') return undefined
    const now = clock.now()
    const open = own.watchersToAsk.filter(node => (this._skippedUntil.get(node) ?? -Infinity) <= now)
    for (const node of open.slice(0, maxPolled)) {
      const address = peer(node)
      const changes = address === undefined ? undefined : await this._poll(address, after)
      if (changes !== undefined) return changes
    }
    return undefined
  }

  private async _poll (peer: PeerAddress, after: number): Promise<FollowedChanges | undefined> {
    const { poll, bound, clock } = this._options
    const asked = instantOf(clock)
    const answer = await poll(peer, after, longestWait).catch((error: Error) => this._skip(peer, error.message))
    if (answer === undefined) return undefined
    if (answer.kind === 'not-kept') return this._skip(peer, 'changes not kept')
    // A watcher that is cut off from the store answers as before; only the age of its view shows it.
    if (answer.era !== eraOf(after)) return this._skip(peer, `its view is of era ${answer.era} of the store`)
    return answer.age > bound() ? this._skip(peer, `view is ${answer.age} ms old`) : { ...answer, polledAt: asked }
  }

  private _skip (peer: PeerAddress, cause: string): undefined {
    this._skippedUntil.set(peer.node, this._options.clock.now() + skipFor)
    this._options.log.info('store', 'watcher skipped.', { peer: peer.node, cause })
    return undefined
  }
}
