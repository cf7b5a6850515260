/**
 * Follows what stands in the store.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { fullJitter } from '@hazelford/decisions'
import type { Store, StoreEvent, StoreItem, StoreListing } from '@hazelford/ports'

/** Hears of the store. */
export interface MirrorListener {
  /** All items. */
  readonly reset: (items: readonly StoreItem[]) => void
  readonly changed: (event: StoreEvent) => void
  /** The store answers again after failures. */
  readonly regained: () => void
  readonly lost: () => void
}

/**
 * Everything: the store belongs to one deployment, and one watch of all of it costs a third
 * of three watches of its parts.
 */
const everything = ''
/**
 * Longest wait of a watch. A connection that has fallen silent shows only by its timeout, and
 * a change of the configuration must be in force 2 s after it was accepted.
 */
const watchWait: Ms = 1_200
/**
 * Pause between two watches, so that changes that come together cost one call: with one entry,
 * and for each further one. The store's rate grows more slowly than the fleet, so the
 * pause grows with it. With five entries it made 574 calls of 746 on a quiet day of a small site
 * (pause 250 ms before).
 */
const gatherBase: Ms = 300
const gatherEach: Ms = 15
/** The longest pause, as a part of the time in which a change must be in force. */
const gatherShare = 1 / 3
const backoff = { base: 60, cap: 600 }
/** Failed calls in a row after which the store counts as lost. */
const lostAfter = 2

/** Mirrors the store for as long as the process lives. */
export class StoreMirror {
  private _revision = 0
  private _known = false
  private _anew = false
  private _failures = 0
  private _isLost = false
  private _stopped = false
  private _heardAt: Ms = -Infinity

  constructor (
    private readonly _store: Store,
    private readonly _clock: Clock,
    private readonly _log: Log,
    private readonly _listener: MirrorListener,
    /** Entries that share the store's rate. */
    private readonly _entries: () => number,
    /** Time after its acceptance in which a change must be in force. */
    private readonly _applyWithin: () => Ms
  ) {}

  get revision (): number { return this._revision }

  /**
   * Reads everything at the next turn instead of going on with the watch. Changes since our revision
   * would be played again over a newer view that came from elsewhere.
   */
  readAnew (): void { this._anew = true }

  /** Whether the store has been read. */
  get known (): boolean { return this._known }

  /** Whether the last calls failed. */
  get lost (): boolean { return this._isLost }

  /** Ms since the store last answered. */
  age (now: Ms): Ms { return now - this._heardAt }

  start (): void { this._run().catch((error: Error) => this._log.warn('store', 'mirror stopped.', { error: error.message })) }

  stop (): void { this._stopped = true }

  private async _run (): Promise<void> {
    while (!this._stopped) {
      const heard = this._known && !this._anew ? await this._watch() : await this._list()
      if (heard) this._heard()
      else await this._pause(this._failed())
      if (this._known && heard) await this._pause(this._gatherPause)
    }
  }

  /** Longest ms between two answers of a store that does well. */
  get turn (): Ms { return watchWait + this._gatherPause }

  private get _gatherPause (): Ms { return Math.min(this._applyWithin() * gatherShare, gatherBase + gatherEach * this._entries()) }

  private _pause (delay: Ms): Promise<void> {
    return new Promise(resolve => { this._clock.after(delay, resolve) })
  }

  private async _list (): Promise<boolean> {
    const listing = await this._store.list(everything)
    if (listing.isErr()) return false
    this._takeListing(listing.value)
    return true
  }

  private _takeListing (listing: StoreListing): void {
    this._known = true
    this._anew = false
    this._revision = listing.revision
    this._listener.reset(listing.items)
  }

  private async _watch (): Promise<boolean> {
    const changes = await this._store.watch(everything, this._revision, watchWait)
    if (changes.isOk()) {
      for (const event of changes.value.events) this._listener.changed(event)
      this._revision = Math.max(this._revision, changes.value.revision)
      return true
    }
    // The store no longer has the changes since our revision. Only a read of everything
    // shows what happened meanwhile; going on from a later revision would miss it for good.
    if (changes.error.kind === 'history-lost') {
      this._log.info('store', 'history lost, reading everything.', { revision: this._revision })
      this._known = false
      return true
    }
    return false
  }

  private _heard (): void {
    this._failures = 0
    this._heardAt = this._clock.now()
    if (!this._isLost) return
    this._isLost = false
    this._log.info('store', 'regained.', { revision: this._revision })
    this._listener.regained()
  }

  private _failed (): Ms {
    this._failures++
    if (this._failures === lostAfter) {
      this._isLost = true
      this._log.warn('store', 'lost.', { revision: this._revision, age: Math.round(this.age(this._clock.now())) })
      this._listener.lost()
    }
    return fullJitter(this._failures, backoff, Math.random)
  }
}
