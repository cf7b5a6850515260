/**
 * Entries that did not answer lately.
 */
import type { Clock, Ms } from '@hazelford/core'
import type { PeerAddress } from './peer-table.js'

/** What is needed to tell when an entry answers again. */
export interface PeerSuspectsOptions {
  readonly clock: Clock
  /** All entries that live. */
  readonly entries: () => readonly PeerAddress[]
  /** Rejects when the entry does not answer. */
  readonly ping: (peer: PeerAddress) => Promise<void>
  /** An entry answers again, or is gone. */
  readonly cleared?: (node: string) => void
}

/** How often an entry that did not answer is tried. */
const tryAgainEvery: Ms = 400

/** Entries that nobody waits for until they answer again: each request would spend its patience on a process that is gone. */
export class PeerSuspects {
  private readonly _nodes = new Set<string>()
  private _stopped = false

  constructor (private readonly _options: PeerSuspectsOptions) {}

  has (node: string): boolean { return this._nodes.has(node) }

  /** Nobody is asked from here on. */
  stop (): void { this._stopped = true }

  /**
   * Notes an entry that did not answer.
   *
   * @returns whether it did until now
   */
  add (peer: PeerAddress): boolean {
    if (this._stopped || this._nodes.has(peer.node)) return false
    this._nodes.add(peer.node)
    this._tryAgain(peer)
    return true
  }

  private _tryAgain (peer: PeerAddress): void {
    const { clock, entries, ping } = this._options
    clock.after(tryAgainEvery, () => {
      if (this._stopped) return
      if (!entries().some(({ node }) => node === peer.node)) return this._clear(peer)
      ping(peer).then(() => this._clear(peer), () => this._tryAgain(peer))
    })
  }

  private _clear ({ node }: PeerAddress): void {
    this._nodes.delete(node)
    this._options.cleared?.(node)
  }
}
