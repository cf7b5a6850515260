/**
 * Follows what stands in the store.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms, sleep } from '@hazelford/core'
import { fullJitter, type StoreRole, type ViewAge } from '@hazelford/decisions'
import type { Store, StoreChanges, StoreEvent, StoreItem, StoreListing } from '@hazelford/ports'
import { ChangeFeed } from './change-feed.js'
import type { FollowedChanges } from './store-follower.js'

/** Hears of the store. */
export interface StoreMirrorListener {
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
 * pause grows with it.
 */
const gatherBase: Ms = 300
const gatherEach: Ms = 15
/** The longest pause, as a part of the time in which a change must be in force. */
const gatherShare = 1 / 3
const backoff = { base: 60, cap: 600 }
/** For the store's answer and a busy host. */
const turnMargin: Ms = 150
/** Failed calls in a row after which the store counts as lost. */
const lostAfter = 2

/** Longest wait of a watch by an entry whose news others follow: they must notice in time when it hears no more. */
const servedWatchWait: Ms = 600

/** What a mirror needs. */
export interface StoreMirrorOptions {
  readonly store: Store
  readonly clock: Clock
  readonly log: Log
  /** What this entry and the others do at the store. */
  readonly role: () => StoreRole
  /** Changes after a revision as another entry has heard them; undefined when the store must be asked. */
  readonly follow: (after: number) => Promise<FollowedChanges | undefined>
  /** As of when the view is complete. */
  readonly viewAge: ViewAge
  /** Time after its acceptance in which a change must be in force. */
  readonly applyWithin: () => Ms
}

/** Mirrors the store for as long as the process lives. */
export class StoreMirror {
  private _revision = 0
  private _known = false
  private _anew = false
  private _failures = 0
  private _isLost = false
  private _stopped = false
  private _heardAt: Ms = -Infinity
  /** For entries that follow this one. */
  readonly feed: ChangeFeed

  constructor (private readonly _options: StoreMirrorOptions, private readonly _listener: StoreMirrorListener) {
    const { clock, viewAge } = _options
    this.feed = new ChangeFeed(clock, () => this.age(clock.now()), () => viewAge.at(instantOf(clock)))
  }

  get revision (): number { return this._revision }

  /**
   * Reads everything at the next turn instead of going on with the watch. Changes since our revision
   * would be played again over a newer view that came from elsewhere.
   */
  scheduleRelist (): void { this._anew = true }

  /** Whether the store has been read. */
  get known (): boolean { return this._known }

  /** Whether the last calls failed. */
  get lost (): boolean { return this._isLost }

  /** Ms since the store last answered. */
  age (now: Ms): Ms { return now - this._heardAt }

  start (): void { this._run().catch((error: Error) => this._options.log.warn('store', 'mirror stopped.', { error: error.message })) }

  stop (): void { this._stopped = true }

  private async _run (): Promise<void> {
    while (!this._stopped) {
      const turn = this._known && !this._anew ? await this._follow() || await this._watch() : await this._list()
      if (turn === 'failed') await this._pause(this._failed())
      if (turn === 'heard') this._heard(this._options.clock.now())
      if (this._known && turn === 'heard') await this._pause(this._gatherPause)
    }
  }

  /** Longest ms between two answers of a store that does well. */
  get maxAnswerInterval (): Ms { return this._watchWait + this._gatherPause }

  private get _gatherPause (): Ms { return Math.min(this._options.applyWithin() * gatherShare, gatherBase + gatherEach * this._watchers) }

  private _pause (delay: Ms): Promise<void> { return sleep(this._options.clock, delay) }

  private get _watchWait (): Ms {
    const duty = this._options.role()
    return duty.kind === 'watch' && duty.hasFollowers ? servedWatchWait : watchWait
  }

  /** Entries that share the store's rate. */
  private get _watchers (): number {
    const duty = this._options.role()
    return duty.kind === 'watch' ? duty.watchers : duty.watchersToAsk.length
  }

  /** Age beyond which the news of a watcher that others follow are late. */
  get maxServedInterval (): Ms { return servedWatchWait + this._gatherPause + turnMargin }

  private async _list (): Promise<'heard' | 'failed'> {
    const asked = this._instant
    const listing = await this._options.store.list(everything)
    if (listing.isErr()) return 'failed'
    this._takeListing(listing.value)
    this._proved(asked, 0)
    return 'heard'
  }

  /** Hears of changes from another entry; undefined when the store must be asked. */
  private async _follow (): Promise<'followed' | undefined> {
    const changes = await this._options.follow(this._revision)
    if (changes === undefined || this._anew) return undefined
    this._takeChanges(changes)
    this._proved(changes.asked, changes.viewAge)
    this._heard(this._options.clock.now() - changes.age)
    return 'followed'
  }

  private _takeChanges ({ events, revision }: StoreChanges): void {
    for (const event of events) this._listener.changed(event)
    this._revision = Math.max(this._revision, revision)
    this.feed.add(events, revision)
  }

  private _takeListing (listing: StoreListing): void {
    this._known = true
    this._anew = false
    this._revision = listing.revision
    this.feed.reset(listing.revision)
    this._listener.reset(listing.items)
  }

  private async _watch (): Promise<'heard' | 'failed'> {
    const asked = this._instant
    const changes = await this._options.store.watch(everything, this._revision, this._watchWait)
    if (changes.isOk()) {
      this._takeChanges(changes.value)
      this._proved(asked, 0)
      return 'heard'
    }
    // The store no longer has the changes since our revision. Only a read of everything
    // shows what happened meanwhile; going on from a later revision would miss it for good.
    if (changes.error.kind === 'history-lost') {
      this._options.log.info('store', 'history lost, reading everything.', { revision: this._revision })
      this._known = false
      return 'heard'
    }
    return 'failed'
  }

  private get _instant (): Instant { return instantOf(this._options.clock) }

  /** Notes that the view holds all that an answer told. */
  private _proved (asked: Instant, age: Ms): void { this._options.viewAge.answered(asked, age, this._instant) }

  private _heard (at: Ms): void {
    this._failures = 0
    this._heardAt = Math.max(this._heardAt, at)
    if (!this._isLost) return
    this._isLost = false
    this._options.log.info('store', 'regained.', { revision: this._revision })
    this._listener.regained()
  }

  private _failed (): Ms {
    this._failures++
    if (this._failures === lostAfter) {
      this._isLost = true
      this._options.log.warn('store', 'lost.', { revision: this._revision, age: Math.round(this.age(this._options.clock.now())) })
      this._listener.lost()
    }
    return fullJitter(this._failures, backoff, Math.random)
  }
}
