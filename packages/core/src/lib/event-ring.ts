/**
 * The last events of a process, in bounded memory.
 */
import type { HlcStamp, HybridClock } from './hlc.js'

/** What an event is about. */
export type EventKind =
  | 'request-taken' | 'request-sent' | 'request-queued' | 'request-started' | 'request-ended' | 'request-retried'
  | 'request-withdrawn' | 'load-started' | 'load-ended' | 'unload' | 'claim' | 'fence' | 'channel-open'
  | 'channel-lost' | 'config' | 'drain' | 'leaving' | 'engine-cold' | 'process'

/** What an event carries besides its kind and stamp. */
export interface EventDetail {
  readonly request?: string
  readonly adapter?: string
  readonly upstream?: string
  readonly peer?: string
  readonly note?: string
}

/** One entry of the time line. */
export interface TimelineEvent extends EventDetail {
  readonly stamp: HlcStamp
  readonly kind: EventKind
}

const defaultCapacity = 4096

/**
 * Ring of events. When full, the oldest goes and {@link EventRing.dropped} grows,
 * so that a reader can tell a quiet process from one that forgot.
 */
export class EventRing {
  private readonly _events: TimelineEvent[] = []
  private _next = 0

  /** How many events were overwritten. */
  dropped = 0

  constructor (private readonly _hlc: HybridClock, private readonly _capacity = defaultCapacity) {}

  /**
   * Records an event now.
   *
   * @param kind - what happened
   * @param detail - to what
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

  /** All events held, oldest first. */
  list (): readonly TimelineEvent[] {
    return [...this._events.slice(this._next), ...this._events.slice(0, this._next)]
  }
}
