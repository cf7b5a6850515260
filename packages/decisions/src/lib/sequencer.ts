/**
 * Puts numbered items into order and drops those seen before.
 */

/** What became of an offered item. */
export type SequencerVerdict = 'delivered' | 'held' | 'duplicate' | 'overflow'

/**
 * Delivers items 0, 1, 2, ... once each, whatever order they come in.
 *
 * Chunks of an answer can come late, twice or out of order after a reconnect. A
 * caller would see text doubled or swapped; the numbers make that impossible.
 */
export class Sequencer<T> {
  private readonly _held = new Map<number, T>()
  private _next = 0

  /**
   * @param _deliver - takes each item in order
   * @param _window - how far ahead of the next item one may be held
   */
  constructor (private readonly _deliver: (item: T) => void, private readonly _window: number) {}

  /** How many items were delivered, which is also the number of the next one. */
  get delivered (): number { return this._next }

  /** Whether an item after the next one has come: something in between is late. */
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
