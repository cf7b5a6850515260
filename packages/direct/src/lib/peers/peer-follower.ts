/**
 * Follows the state of peers while the store does not answer this entry.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms, sleep } from '@hazelford/core'
import type { PeerClient } from './peer-client.js'
import type { PeerState } from './peer-state.js'
import type { PeerAddress } from './peer-table.js'

/** What the follower needs of its entry. */
export interface PeerFollowerOptions {
  readonly clock: Clock
  readonly log: Log
  readonly client: PeerClient
  /** The other entries. */
  readonly peers: () => readonly PeerAddress[]
  /** Ms since the store last answered this entry. */
  readonly age: () => Ms
  /** Longest ms between two answers of a healthy store. */
  readonly maxAnswerInterval: () => Ms
  /** Applies a peer's state; `asked`: when the state was requested. */
  readonly apply: (state: PeerState, asked: Instant) => void
}

/** Margin beyond the longest interval between two answers of a healthy store, after which the view counts as stale. */
const staleMargin: Ms = 300
/** Interval of requests for a peer's state: short enough that a change is in force 2 s after it was accepted. */
const followEvery: Ms = 600

/**
 * Requests the state of one peer at a time.
 *
 * The store may reject calls of some entries, or be cut off from them, while it serves the others. Such an entry would
 * send requests to upstreams that are gone, miss all new ones, and send load requests to holders that have lost their
 * lease. A peer that the store has answered lately has a better view.
 */
export class PeerFollower {
  private _stopped = false
  private _nextPeer = 0
  private _following = false

  constructor (private readonly _options: PeerFollowerOptions) {}

  start (): void {
    this._run().catch((error: Error) => this._options.log.warn('peers', 'follower stopped.', { error: error.message }))
  }

  stop (): void { this._stopped = true }

  private get _staleAfter (): Ms { return this._options.maxAnswerInterval() + staleMargin }

  private async _run (): Promise<void> {
    while (!this._stopped) {
      await sleep(this._options.clock, followEvery)
      if (this._options.age() < this._staleAfter) this._following = false
      else await this._follow()
    }
  }

  private async _follow (): Promise<void> {
    const { peers, client, age, apply, log, clock } = this._options
    const others = peers()
    const peer = others[this._nextPeer++ % Math.max(1, others.length)]
    if (peer === undefined) return
    const asked = instantOf(clock)
    const state = await client.state(peer).catch((error: Error) => {
      log.info('peers', 'no state.', { peer: peer.node, cause: error.message })
      return undefined
    })
    // A peer that has no recent answer of the store either has no better view; its view may even be older.
    if (this._stopped || state === undefined || state.age >= Math.min(this._staleAfter, age())) return
    if (!this._following) log.info('peers', 'followed.', { peer: peer.node, age: Math.round(state.age), ownAge: Math.round(age()), version: state.config.version })
    this._following = true
    apply(state, asked)
  }
}
