/**
 * Mirrors the contents of the store.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms, sleep } from '@hazelford/core'
import { fullJitter, type StoreRole, type ViewAge } from '@hazelford/decisions'
import type { Store, StoreChanges, StoreEvent, StoreFailure, StoreItem, StoreListing } from '@hazelford/ports'
import { ChangeFeed } from './change-feed.js'
import type { FollowedChanges } from './store-follower.js'
import { dropSuperseded } from './superseded-events.js'

/** Receives the contents of the store and their changes. */
export interface StoreMirrorListener {
  /** All items. */
  readonly reset: (items: readonly StoreItem[]) => void
  readonly changed: (event: StoreEvent) => void
  /** The store answers again after it was lost. */
  readonly regained: () => void
  /** The store has stopped answering. */
  readonly lost: () => void
}

/**
 * Empty prefix, for all keys: the store belongs to one deployment, and one watch of all keys costs a third of three
 * watches of its parts.
 */
const allKeysPrefix = ''
/**
 * Longest wait of a watch. A connection that has become silent is noticed only by its timeout, and a change of the
 * configuration must be in force 2 s after it was accepted.
 */
const watchWait: Ms = 1_200
/**
 * Pause between two watches, so that changes that come together cost one call: a base, and an addition for each entry
 * that watches the store. The store's rate limit grows more slowly than the number of entries, so the pause grows with
 * that number.
 */
const watchPauseBase: Ms = 300
const watchPausePerEntry: Ms = 15
/** Longest pause between two watches, as a share of the time in which a change must be in force. */
const maxWatchPauseShare = 1 / 3
const backoff = { base: 60, cap: 600 }
/** Margin of a watch for the transfer of the store's answer and for a busy host. */
const answerMargin: Ms = 150
/** Time for which an answer that is still arriving counts as one, as a share of the time in which a change must be in force. */
const maxTransferShare = 1 / 2
/** Time to apply the changes of one answer from which it is logged: requests wait meanwhile. */
const slowApply: Ms = 50
/**
 * Answers of a watch are read up to this share of the size of a listing, and at least up to this many bytes; beyond that
 * the store is listed. A watch returns every version that a value has had, a listing the latest ones only, so its size
 * does not grow with the time since the last answer. What was read of the watch's answer is lost.
 */
const maxWatchShare = 1 / 4
const minWatchBytes = 128 * 1024
/** Consecutive failed calls after which the store counts as lost. */
const lostAfter = 2

/**
 * Longest wait of a watch by an entry that other entries follow. They judge its view by the time of the store's last
 * answer; with a shorter wait they notice sooner that it no longer receives changes.
 */
const servedWatchWait: Ms = 600

/** What a mirror needs. */
export interface StoreMirrorOptions {
  readonly store: Store
  readonly clock: Clock
  readonly log: Log
  /** Roles of this entry and the others at the store. */
  readonly role: () => StoreRole
  /** Changes after a revision as another entry has received them; undefined when the store itself must be read. */
  readonly follow: (after: number) => Promise<FollowedChanges | undefined>
  /** Tracks since when the view may have missed a change. */
  readonly viewAge: ViewAge
  /** Whether the store may hold older contents than are known, so that its answers do not verify the view. */
  readonly isBehind: () => boolean
  /** Time within which an accepted change must be in force. */
  readonly applyWithin: () => Ms
}

/** Mirrors the store for as long as the process runs. */
export class StoreMirror {
  private _revision = 0
  private _known = false
  private _isRelistDue = false
  private _failures = 0
  private _isLost = false
  private _stopped = false
  private _answeredAt: Ms = -Infinity
  /** When a part of an answer arrived that is not complete yet. */
  private _receivedAt: Ms = -Infinity
  /** Resolves at the end of the listing that is under way. */
  private _listing: Promise<void> | undefined
  /** Size of the last listing in bytes. */
  private _listingBytes = 0
  /** Ms that the last call took, if it was a listing. Changes come together during that time as in a pause. */
  private _listingTook: Ms = 0
  /** Changes for the entries that follow this one. */
  readonly feed: ChangeFeed

  constructor (private readonly _options: StoreMirrorOptions, private readonly _listener: StoreMirrorListener) {
    const { clock, viewAge } = _options
    this.feed = new ChangeFeed(clock, () => this.age(clock.now()), () => viewAge.at(instantOf(clock)))
  }

  get revision (): number { return this._revision }

  /**
   * Lists the whole store at the next turn instead of continuing the watch. A watch would replay the changes since this
   * mirror's revision over a newer view that came from a peer.
   */
  scheduleRelist (): void { this._isRelistDue = true }

  /** Resolves at the end of the listing that is under way; undefined when there is none. */
  get listing (): Promise<void> | undefined { return this._listing }

  /** Whether the store has been read. */
  get known (): boolean { return this._known }

  /** Whether the last calls failed. */
  get lost (): boolean { return this._isLost }

  /** Ms since the store last answered, or a part of an answer arrived. */
  age (now: Ms): Ms { return now - Math.max(this._answeredAt, this._receivedAt) }

  start (): void { this._run().catch((error: Error) => this._options.log.warn('store', 'mirror stopped.', { error: error.message })) }

  stop (): void { this._stopped = true }

  private async _run (): Promise<void> {
    while (!this._stopped) {
      const turn = await this._turn()
      if (turn === 'failed') await this._pause(this._failed())
      if (turn === 'heard') this._recordAnswer(this._options.clock.now())
      if (this._known && turn === 'heard') await this._pause(this._watchPause - this._listingTook)
    }
  }

  private async _turn (): Promise<'heard' | 'failed' | 'followed' | 'overtaken'> {
    if (!this._known || this._isRelistDue) return await this._list()
    const followed = await this._follow()
    if (followed !== undefined) return followed
    return this._isRelistDue ? await this._list() : await this._watch()
  }

  /** Longest ms between two answers of a healthy store. */
  get maxAnswerInterval (): Ms { return this._watchWait + this._watchPause }

  private get _watchPause (): Ms { return Math.min(this._options.applyWithin() * maxWatchPauseShare, watchPauseBase + watchPausePerEntry * this._watchers) }

  private _pause (delay: Ms): Promise<void> { return sleep(this._options.clock, delay) }

  private get _watchWait (): Ms {
    const role = this._options.role()
    return role.kind === 'watch' && role.hasFollowers ? servedWatchWait : watchWait
  }

  /** Number of entries that share the store's rate limit. */
  private get _watchers (): number {
    const role = this._options.role()
    return role.kind === 'watch' ? role.watchers : role.watchersToAsk.length
  }

  /** Age beyond which the view of a watcher that others follow is stale. */
  get maxServedInterval (): Ms { return servedWatchWait + this._watchPause + answerMargin }

  private _list (): Promise<'heard' | 'failed'> {
    const listed = this._readListing()
    const ended = (): void => { this._listing = undefined }
    this._listing = listed.then(ended, ended)
    return listed
  }

  private async _readListing (): Promise<'heard' | 'failed'> {
    const asked = this._instant
    const listing = await this._options.store.list(allKeysPrefix, { onData: this._trackAnswer() })
    if (listing.isErr()) return this._readFailed('list', listing.error, asked)
    this._applyListing(listing.value)
    this._listingTook = this._instant.now - asked.now
    this._recordVerified(asked, 0)
    return 'heard'
  }

  /** Receives changes from another entry; undefined when the store itself must be read. */
  private async _follow (): Promise<'followed' | undefined> {
    const changes = await this._options.follow(this._revision)
    if (changes === undefined || this._isRelistDue) return undefined
    this._applyChanges(changes)
    this._recordVerified(changes.polledAt, changes.viewAge)
    this._recordAnswer(this._options.clock.now() - changes.age)
    return 'followed'
  }

  private _applyChanges ({ events: all, revision }: Pick<StoreChanges, 'events' | 'revision'>): void {
    const startedAt = this._options.clock.now()
    const events = dropSuperseded(all)
    for (const event of events) this._listener.changed(event)
    this._revision = Math.max(this._revision, revision)
    this.feed.add(events, revision)
    const took = this._options.clock.now() - startedAt
    if (took > slowApply) this._options.log.info('store', 'changes took long to apply.', { revision, events: events.length, took: Math.round(took) })
  }

  private _applyListing (listing: StoreListing): void {
    this._known = true
    this._isRelistDue = false
    this._revision = listing.revision
    this._listingBytes = listing.bytes
    this.feed.relist(listing.items, listing.revision)
    this._listener.reset(listing.items)
  }

  private async _watch (): Promise<'heard' | 'failed' | 'overtaken'> {
    const asked = this._instant
    this._listingTook = 0
    const changes = await this._options.store.watch(allKeysPrefix, this._revision, this._watchWait, { maxBytes: this._maxWatchBytes, onData: this._trackAnswer() })
    if (changes.isOk()) {
      // A peer's view was applied meanwhile, which may be newer than these changes.
      if (this._isRelistDue) return 'overtaken'
      this._applyChanges(changes.value)
      this._recordVerified(asked, 0)
      return 'heard'
    }
    // The store no longer has the changes since this mirror's revision. Only a listing of the whole store shows what
    // happened meanwhile; continuing from a later revision would miss it for good.
    if (changes.error.kind === 'history-lost') {
      this._options.log.info('store', 'history lost, listing the whole store.', { revision: this._revision })
      this._known = false
      return 'heard'
    }
    if (changes.error.kind === 'too-large') {
      this._options.log.info('store', 'changes are too large, listing the store.', { revision: this._revision, listing: this._listingBytes })
      this.scheduleRelist()
      return 'overtaken'
    }
    return this._readFailed('watch', changes.error, asked)
  }

  /** Logs a read that failed: whether its answer was absent or incomplete tells an outage from a slow link. */
  private _readFailed (call: 'list' | 'watch', { message, bytes }: StoreFailure, asked: Instant): 'failed' {
    this._options.log.info('store', 'read failed.', { call, revision: this._revision, cause: message, bytes, took: Math.round(this._instant.now - asked.now) })
    return 'failed'
  }

  private get _maxWatchBytes (): number { return Math.max(minWatchBytes, this._listingBytes * maxWatchShare) }

  /**
   * Returns a function that records the parts of one answer as they arrive. An entry that receives a large answer is not
   * cut off; for a limited time, since peers may have a complete one by then.
   */
  private _trackAnswer (): () => void {
    const { clock, applyWithin } = this._options
    let beganAt: Ms | undefined
    return () => {
      const now = clock.now()
      beganAt ??= now
      if (now - beganAt < applyWithin() * maxTransferShare) this._receivedAt = now
    }
  }

  private get _instant (): Instant { return instantOf(this._options.clock) }

  /** Records that the view contains all changes up to an answer; `asked`: when its call was sent. */
  private _recordVerified (asked: Instant, age: Ms): void { if (!this._options.isBehind()) this._options.viewAge.recordAnswer(asked, age, this._instant) }

  private _recordAnswer (at: Ms): void {
    this._failures = 0
    this._answeredAt = Math.max(this._answeredAt, at)
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
