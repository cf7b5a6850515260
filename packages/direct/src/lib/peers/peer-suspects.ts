/**
 * Entries that did not answer lately.
 */
import type { Clock, Ms } from '@hazelford/core'
import type { PeerAddress } from './peer-table.js'

/** What the suspects' pings need of the entry. */
export interface PeerSuspectsOptions {
  readonly clock: Clock
  /** All entries that are running. */
  readonly entries: () => readonly PeerAddress[]
  /** Rejects when the entry does not answer. */
  readonly ping: (peer: PeerAddress) => Promise<void>
  /** Called when an entry answers again, or is gone. */
  readonly cleared?: (node: string) => void
}

/** How often an entry that did not answer is pinged. */
const pingEvery: Ms = 400

/**
 * Entries that are not called until they answer a ping again: otherwise each request would spend its longest wait on a
 * process that is gone.
 */
export class PeerSuspects {
  private readonly _nodes = new Set<string>()
  private _stopped = false

  constructor (private readonly _options: PeerSuspectsOptions) {}

  has (node: string): boolean { return this._nodes.has(node) }

  /** Stops the pings. */
  stop (): void { this._stopped = true }

  /**
   * Adds an entry that did not answer.
   *
   * @returns whether it was not suspect before
   */
  add (peer: PeerAddress): boolean {
    if (this._stopped || this._nodes.has(peer.node)) return false
    this._nodes.add(peer.node)
    this._schedulePing(peer)
    return true
  }

  private _schedulePing (peer: PeerAddress): void {
    const { clock, entries, ping } = this._options
    clock.after(pingEvery, () => {
      if (this._stopped) return
      if (!entries().some(({ node }) => node === peer.node)) return this._clear(peer)
      ping(peer).then(() => this._clear(peer), () => this._schedulePing(peer))
    })
  }

  private _clear ({ node }: PeerAddress): void {
    this._nodes.delete(node)
    this._options.cleared?.(node)
  }
}
