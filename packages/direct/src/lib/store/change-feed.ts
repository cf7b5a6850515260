/**
 * Changes in the store as one entry has received them, for the entries that follow it.
 */
import type { Clock, Ms } from '@hazelford/core'
import { eraOf, type StoreChanges, type StoreEvent, type StoreItem } from '@hazelford/ports'
import { dropSuperseded } from './superseded-events.js'

/** Changes after a revision. */
export interface FeedChanges extends StoreChanges {
  /** Ms since the store last answered. */
  readonly age: Ms
  /** Ms for which the view of the answering entry may have missed a change. */
  readonly viewAge: Ms
}

/** The answer to a follower: changes, or `not-kept` when this entry no longer has them. */
export type FeedAnswer = { readonly kind: 'changes' } & FeedChanges | { readonly kind: 'not-kept' }

/** Number of events kept: about 20 s of changes of a hundred upstreams. A follower polls several times a second. */
const maxEvents = 1_000
/** Characters of values kept: a follower that lacks more than this lists the store instead. */
const maxValueLength = 4 << 20

function isEvent (value: unknown): value is StoreEvent {
  const { kind, key, revision, item } = (value ?? {}) as Record<string, unknown>
  if (kind === 'removed') return typeof key === 'string' && typeof revision === 'number'
  const put = (item ?? {}) as Record<string, unknown>
  return kind === 'put' && typeof put.key === 'string' && typeof put.value === 'string' && typeof put.revision === 'number'
}

/** Age sent when no answer has verified a view: JSON has no infinity. */
export const longestAge: Ms = 1e9

/**
 * Reads a peer's answer.
 *
 * A peer of another version may send something else. Without this check, it would end the loop that follows the store.
 *
 * @param value - decoded JSON
 * @returns undefined when it is not an answer
 */
export function readFeedAnswer (value: unknown): FeedAnswer | undefined {
  const { kind, events, revision, era, age, viewAge } = (value ?? {}) as Record<string, unknown>
  if (kind === 'not-kept') return { kind }
  if (kind !== 'changes' || !Array.isArray(events) || !events.every(isEvent)) return undefined
  if (typeof revision !== 'number' || typeof age !== 'number') return undefined
  // An answer without `viewAge`, from a peer of an older version, verifies nothing.
  // An entry of an older version does not know the store's era; it knows the revisions of era 0.
  return { kind, events, revision, era: typeof era === 'number' ? era : 0, age, viewAge: typeof viewAge === 'number' ? viewAge : longestAge }
}

function revisionOf (event: StoreEvent): number { return event.kind === 'put' ? event.item.revision : event.revision }

function valueLength (event: StoreEvent): number { return event.kind === 'put' ? event.item.value.length : 0 }

/** Number of the oldest events to drop, so that the others are within both limits. */
function surplusOf (events: readonly StoreEvent[]): number {
  let length = 0
  for (let n = events.length - 1; n >= 0; n--) {
    length += valueLength(events[n]!)
    if (events.length - n > maxEvents || length > maxValueLength) return n + 1
  }
  return 0
}

/** The latest changes, without values that were replaced since. */
export class ChangeFeed {
  private _events: StoreEvent[] = []
  /** Changes up to this revision are not kept. */
  private _droppedUpTo = Infinity
  private _revision = 0
  /** Keys that exist. */
  private readonly _keys = new Set<string>()
  private _waiters = new Set<() => void>()

  /**
   * @param _age - ms since the store last answered
   * @param _viewAge - ms since which the view may have missed a change
   */
  constructor (private readonly _clock: Clock, private readonly _age: () => Ms, private readonly _viewAge: () => Ms) {}

  /**
   * Continues with a listing of the whole store, of which the differences from the last known contents are the changes.
   * Followers go on from there; otherwise each of them would list the store as well.
   */
  relist (items: readonly StoreItem[], revision: number): void {
    // Followers of an earlier era list the store as well: the copy has values that were replaced or removed since, and a
    // change that is passed on counts as written after the return.
    if (this._droppedUpTo === Infinity || eraOf(revision) !== eraOf(this._revision)) this.reset(revision)
    const puts = items.filter(item => item.revision > this._revision).map((item): StoreEvent => ({ kind: 'put', item }))
    const listed = new Set(items.map(({ key }) => key))
    const removals = [...this._keys].filter(key => !listed.has(key)).map((key): StoreEvent => ({ kind: 'removed', key, revision }))
    for (const key of listed) this._keys.add(key)
    this.add([...puts, ...removals].sort((a, b) => revisionOf(a) - revisionOf(b)), revision)
  }

  /** Starts over: the changes up to a revision are unknown. */
  reset (revision: number): void {
    this._events = []
    this._droppedUpTo = revision
    this._revision = revision
    this._keys.clear()
    this._wake()
  }

  /** Adds changes up to a revision. */
  add (events: readonly StoreEvent[], revision: number): void {
    if (revision <= this._revision) return
    for (const event of events) {
      if (event.kind === 'put') this._keys.add(event.item.key)
      else this._keys.delete(event.key)
    }
    this._events = [...dropSuperseded([...this._events, ...events])]
    this._revision = revision
    const surplus = this._events.splice(0, surplusOf(this._events))
    if (surplus.length > 0) this._droppedUpTo = Math.max(this._droppedUpTo, revisionOf(surplus.at(-1)!))
    this._wake()
  }

  /**
   * Waits for changes.
   *
   * @param after - latest revision that the follower has
   * @param wait - longest wait in ms
   */
  async since (after: number, wait: Ms): Promise<FeedAnswer> {
    if (after >= this._revision && eraOf(after) === eraOf(this._revision)) await this._changed(wait)
    if (after < this._droppedUpTo || eraOf(after) > eraOf(this._revision)) return { kind: 'not-kept' }
    const events = this._events.filter(event => revisionOf(event) > after)
    return { kind: 'changes', events, revision: Math.max(after, this._revision), era: eraOf(this._revision), age: Math.min(longestAge, Math.round(this._age())), viewAge: Math.min(longestAge, Math.ceil(this._viewAge())) }
  }

  private _changed (wait: Ms): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        cancel()
        this._waiters.delete(wake)
        resolve()
      }
      const cancel = this._clock.after(wait, wake)
      this._waiters.add(wake)
    })
  }

  private _wake (): void { for (const wake of [...this._waiters]) wake() }
}
