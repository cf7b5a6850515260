/**
 * Changes in the store as one entry has heard them, for those that follow it.
 */
import type { Clock, Ms } from '@hazelford/core'
import type { StoreChanges, StoreEvent } from '@hazelford/ports'

/** Changes after a revision. */
export interface FeedChanges extends StoreChanges {
  /** Ms since the store was heard. */
  readonly age: Ms
  /** Ms since which the view of whoever tells may have missed something. */
  readonly viewAge: Ms
}

/** What a follower gets: changes, or word that they are not kept here. */
export type FeedAnswer = { readonly kind: 'changes' } & FeedChanges | { readonly kind: 'not-kept' }

/** Events kept: some 20 s of changes of a hundred upstreams. A follower asks several times a second. */
const kept = 1_000

function isEvent (value: unknown): value is StoreEvent {
  const { kind, key, revision, item } = (value ?? {}) as Record<string, unknown>
  if (kind === 'removed') return typeof key === 'string' && typeof revision === 'number'
  const put = (item ?? {}) as Record<string, unknown>
  return kind === 'put' && typeof put.key === 'string' && typeof put.value === 'string' && typeof put.revision === 'number'
}

/** Age told when nothing proves a view: JSON has no infinity. */
export const longestAge: Ms = 1e9

/**
 * Reads a peer's answer.
 *
 * One of another version may say something else. Taken as it came, it would end the loop that follows the store.
 *
 * @param value - decoded JSON
 * @returns undefined when it is no answer
 */
export function readFeedAnswer (value: unknown): FeedAnswer | undefined {
  const { kind, events, revision, age, viewAge } = (value ?? {}) as Record<string, unknown>
  if (kind === 'not-kept') return { kind }
  if (kind !== 'changes' || !Array.isArray(events) || !events.every(isEvent)) return undefined
  if (typeof revision !== 'number' || typeof age !== 'number') return undefined
  // One of a version that does not say proves nothing.
  return { kind, events, revision, age, viewAge: typeof viewAge === 'number' ? viewAge : longestAge }
}

function revisionOf (event: StoreEvent): number { return event.kind === 'put' ? event.item.revision : event.revision }

/** The last changes. */
export class ChangeFeed {
  private _events: StoreEvent[] = []
  /** Changes up to this revision are not kept. */
  private _from = Infinity
  private _revision = 0
  private _waiting = new Set<() => void>()

  /**
   * @param _age - ms since the store was heard
   * @param _viewAge - ms since which the view may have missed something
   */
  constructor (private readonly _clock: Clock, private readonly _age: () => Ms, private readonly _viewAge: () => Ms) {}

  /** Everything was read: what changed before is not known. */
  reset (revision: number): void {
    this._events = []
    this._from = revision
    this._revision = revision
    this._wake()
  }

  /** Takes changes up to a revision. */
  add (events: readonly StoreEvent[], revision: number): void {
    if (revision <= this._revision) return
    this._events.push(...events)
    this._revision = revision
    const surplus = this._events.splice(0, Math.max(0, this._events.length - kept))
    if (surplus.length > 0) this._from = Math.max(this._from, revisionOf(surplus.at(-1)!))
    this._wake()
  }

  /**
   * Waits for changes.
   *
   * @param after - revision that the follower has
   * @param wait - ms at most
   */
  async since (after: number, wait: Ms): Promise<FeedAnswer> {
    if (after >= this._revision) await this._changed(wait)
    if (after < this._from) return { kind: 'not-kept' }
    const events = this._events.filter(event => revisionOf(event) > after)
    return { kind: 'changes', events, revision: Math.max(after, this._revision), age: Math.min(longestAge, Math.round(this._age())), viewAge: Math.min(longestAge, Math.ceil(this._viewAge())) }
  }

  private _changed (wait: Ms): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        cancel()
        this._waiting.delete(wake)
        resolve()
      }
      const cancel = this._clock.after(wait, wake)
      this._waiting.add(wake)
    })
  }

  private _wake (): void { for (const wake of [...this._waiting]) wake() }
}
