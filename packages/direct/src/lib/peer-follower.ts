/**
 * Follows what peers know, while the store does not answer this entry.
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
  /** Ms since the store was last heard here. */
  readonly age: () => Ms
  /** Longest ms between two answers of a store that does well. */
  readonly maxAnswerInterval: () => Ms
  /** `asked`: when the peer was. */
  readonly apply: (state: PeerState, asked: Instant) => void
}

/** Beyond the longest turn of a store that does well, what is older has missed its turn. */
const staleMargin: Ms = 300
/** A change must be in force 2 s after it was accepted; one question in this time keeps within it. */
const followEvery: Ms = 600

/**
 * Asks one peer at a time for what it knows.
 *
 * The store may turn some entries away, or be cut off from them, while it serves the others. Such
 * an entry would send requests to upstreams that are gone, know none of the new ones, and ask
 * holders that have lost their lease. A peer that heard the store lately knows better.
 */
export class PeerFollower {
  private _stopped = false
  private _turn = 0
  private _following = false

  constructor (private readonly _options: PeerFollowerOptions) {}

  start (): void {
    this._run().catch((error: Error) => this._options.log.warn('peers', 'no longer followed.', { error: error.message }))
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
    const { peers, client, age, apply: take, log, clock } = this._options
    const others = peers()
    const peer = others[this._turn++ % Math.max(1, others.length)]
    if (peer === undefined) return
    const asked = instantOf(clock)
    const state = await client.state(peer).catch((error: Error) => {
      log.info('peers', 'no state.', { peer: peer.node, cause: error.message })
      return undefined
    })
    // A peer that has not heard the store either knows nothing better; its view could even be older.
    if (this._stopped || state === undefined || state.age >= Math.min(this._staleAfter, age())) return
    if (!this._following) log.info('peers', 'followed.', { peer: peer.node, age: Math.round(state.age), ownAge: Math.round(age()), version: state.config.version })
    this._following = true
    take(state, asked)
  }
}
