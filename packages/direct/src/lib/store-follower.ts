/**
 * Hears of changes in the store from entries that watch it.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms } from '@hazelford/core'
import type { StoreRole } from '@hazelford/decisions'
import type { FeedAnswer, FeedChanges } from './change-feed.js'
import type { PeerAddress } from './peer-table.js'

/** What a follower needs. */
export interface StoreFollowerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly role: () => StoreRole
  readonly peer: (node: string) => PeerAddress | undefined
  readonly ask: (peer: PeerAddress, after: number, wait: Ms) => Promise<FeedAnswer>
  /** Age of the watcher's news beyond which they are too old to go by. */
  readonly bound: () => Ms
}

/** How long a watcher holds a question without changes. A dead one shows by its timeout, a little later. */
const longestWait: Ms = 400
/** How long a watcher that failed, or had old news, is left alone. */
const avoidFor: Ms = 3_000
/** Watchers asked before the store itself is. */
const maxAsked = 2

/** Changes that a watcher told. */
export interface FollowedChanges extends FeedChanges {
  /** When it was asked. */
  readonly asked: Instant
}

/** Follows watchers, while its entry does not watch by itself. */
export class StoreFollower {
  /** Watchers to leave alone, and until when. */
  private readonly _avoided = new Map<string, Ms>()

  constructor (private readonly _options: StoreFollowerOptions) {}

  /**
   * Asks a watcher for changes.
   *
   * @param after - revision that is known
   * @returns undefined when the store must be asked: this entry watches, or no watcher knows better
   */
  async changes (after: number): Promise<FollowedChanges | undefined> {
    const { clock, role: duty, peer } = this._options
    const own = duty()
    if (own.kind === 'watch') return undefined
    const now = clock.now()
    const open = own.watchersToAsk.filter(node => (this._avoided.get(node) ?? -Infinity) <= now)
    for (const node of open.slice(0, maxAsked)) {
      const address = peer(node)
      const changes = address === undefined ? undefined : await this._ask(address, after)
      if (changes !== undefined) return changes
    }
    return undefined
  }

  private async _ask (peer: PeerAddress, after: number): Promise<FollowedChanges | undefined> {
    const { ask, bound, clock } = this._options
    const asked = instantOf(clock)
    const answer = await ask(peer, after, longestWait).catch((error: Error) => this._avoid(peer, error.message))
    if (answer === undefined) return undefined
    if (answer.kind === 'not-kept') return this._avoid(peer, 'changes not kept')
    // A watcher that is cut off from the store answers as before; only the age of its news tells.
    return answer.age > bound() ? this._avoid(peer, `news of ${answer.age} ms ago`) : { ...answer, asked }
  }

  private _avoid (peer: PeerAddress, cause: string): undefined {
    this._avoided.set(peer.node, this._options.clock.now() + avoidFor)
    this._options.log.info('store', 'watcher left alone.', { peer: peer.node, cause })
    return undefined
  }
}
