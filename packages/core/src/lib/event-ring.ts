/**
 * The most recent events of a process, in bounded memory.
 */
import type { HlcStamp, HybridClock } from './hlc.js'

/** Kind of an event. */
export type EventKind =
  | 'request-taken' | 'request-sent' | 'request-queued' | 'request-started' | 'request-ended' | 'request-retried'
  | 'request-withdrawn' | 'load-started' | 'load-ended' | 'unload' | 'claim' | 'fence' | 'channel-open'
  | 'channel-lost' | 'config' | 'drain' | 'leaving' | 'engine-cold' | 'process'

/** Details of an event besides its kind and stamp. */
export interface EventDetail {
  readonly request?: string
  readonly adapter?: string
  readonly upstream?: string
  readonly peer?: string
  readonly note?: string
}

/** One event of the timeline. */
export interface TimelineEvent extends EventDetail {
  readonly stamp: HlcStamp
  readonly kind: EventKind
}

const defaultCapacity = 4096

/**
 * Ring buffer of events. When it is full, a new event overwrites the oldest one and increments
 * {@link EventRing.dropped}, so that a reader can tell whether earlier events are missing.
 */
export class EventRing {
  private readonly _events: TimelineEvent[] = []
  private _next = 0

  /** Number of overwritten events. */
  dropped = 0

  constructor (private readonly _hlc: HybridClock, private readonly _capacity = defaultCapacity) {}

  /**
   * Records an event with the current stamp.
   *
   * @param kind - kind of the event
   * @param detail - the request, adapter, upstream or peer concerned, and a note
   */
  add (kind: EventKind, detail: EventDetail = {}): void {
    const event = { stamp: this._hlc.tick(), kind, ...detail }
    if (this._events.length < this._capacity) {
      this._events.push(event)
      return
    }
    this._events[this._next] = event
    this._next = (this._next + 1) % this._capacity
    this.dropped++
  }

  /** All recorded events, oldest first. */
  list (): readonly TimelineEvent[] {
    return [...this._events.slice(this._next), ...this._events.slice(0, this._next)]
  }
}
