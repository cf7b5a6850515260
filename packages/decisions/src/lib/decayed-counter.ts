/**
 * Exponentially decayed counts, so that an adapter that is no longer requested loses its adapter slot.
 */
import type { Ms } from '@hazelford/core'

interface Count { readonly value: number, readonly at: Ms }

const pruneThreshold = 0.01

/** Exponentially decayed counts by key. */
export class DecayedCounter {
  private readonly _counts = new Map<string, Count>()

  /**
   * @param _halfLife - ms in which a count halves
   * @param _capacity - keys kept; beyond it, keys with negligible counts are dropped first
   */
  constructor (private readonly _halfLife: Ms, private readonly _capacity = 100_000) {}

  /** Adds one use, or several. */
  add (key: string, at: Ms, uses = 1): void {
    this._counts.set(key, { value: this.read(key, at) + uses, at })
    if (this._counts.size > this._capacity) this._prune(at)
  }

  /** Decayed count at a time. */
  read (key: string, at: Ms): number {
    const count = this._counts.get(key)
    if (count === undefined) return 0
    return count.value * 0.5 ** ((at - count.at) / this._halfLife)
  }

  private _prune (at: Ms): void {
    for (const key of this._counts.keys()) {
      if (this.read(key, at) < pruneThreshold) this._counts.delete(key)
    }
    // All counts may still be above the threshold. The keys that were inserted first are dropped then.
    for (const key of this._counts.keys()) {
      if (this._counts.size <= this._capacity) return
      this._counts.delete(key)
    }
  }
}
