/**
 * Delivers numbered items in order and drops duplicates.
 */

/** Outcome of an offered item. `held`: kept until the items before it have arrived. */
export type SequencerVerdict = 'delivered' | 'held' | 'duplicate' | 'overflow'

/**
 * Delivers items 0, 1, 2, ... once each, in whatever order they arrive.
 *
 * After a reconnect, chunks of an answer can arrive late, twice or out of order. Passed on as they arrive, the caller
 * would read doubled or swapped text; the numbers rule that out.
 */
export class Sequencer<T> {
  private readonly _held = new Map<number, T>()
  private _next = 0

  /**
   * @param _deliver - receives each item in order
   * @param _window - how far ahead of the next item an item may be kept
   */
  constructor (private readonly _deliver: (item: T) => void, private readonly _window: number) {}

  /** Number of delivered items, which is also the number of the next one. */
  get delivered (): number { return this._next }

  /** Whether a later item has arrived before the next one. */
  get hasGap (): boolean { return this._held.size > 0 }

  /**
   * Offers an item.
   *
   * @param index - its number, from 0
   * @param item - the item
   */
  offer (index: number, item: T): SequencerVerdict {
    if (index < this._next || this._held.has(index)) return 'duplicate'
    if (index >= this._next + this._window) return 'overflow'
    if (index > this._next) {
      this._held.set(index, item)
      return 'held'
    }
    this._deliverNext(item)
    this._drain()
    return 'delivered'
  }

  private _deliverNext (item: T): void {
    this._next++
    this._deliver(item)
  }

  private _drain (): void {
    if (this._held.size === 0) return
    for (let item = this._held.get(this._next); item !== undefined; item = this._held.get(this._next)) {
      this._held.delete(this._next)
      this._deliverNext(item)
    }
  }
}
