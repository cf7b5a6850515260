/**
 * How long an engine takes to load an adapter, learned from its loads.
 */
import type { Ms } from '@hazelford/core'

/** First guesses, from the description of usual engines; corrected by what is seen. */
const storeLoadTime: Ms = 250
const hostCopyLoadTime: Ms = 25
/** Added to an expected time: the engine's next step. */
const loadMargin: Ms = 2
/** Part of a late load's time so far after which the engine is asked again, and the least pause. */
const lateRetryShare = 0.12
const minLateRetry: Ms = 12
/**
 * Loads slow down while many run, and nobody sees them all: the last few loads tell. One that
 * was over when first asked after may have been over for a while, and counts as a seventh
 * faster than it was expected.
 */
const slowdownWeight = 0.3
const onTimeFactor = 0.85
const minSlowdown = 0.1
/** Adapters whose copies an engine keeps in its host's memory. */
const recentCapacity = 120

/** Expected load times of one engine. */
export class LoadTimes {
  private _slowdown = 1
  private readonly _recent = new Set<string>()

  /** What the weight store's loads are slower by than when few run; under 1 if they are faster than guessed. */
  get slowdown (): number { return this._slowdown }

  /** Whether the engine has held an adapter lately, so that a load reads a copy in its host's memory. */
  isRecent (key: string): boolean { return this._recent.has(key) }

  markRecent (key: string): void {
    this._recent.delete(key)
    this._recent.add(key)
    for (const oldest of this._recent) {
      if (this._recent.size <= recentCapacity) break
      this._recent.delete(oldest)
    }
  }

  expected (key: string): Ms { return (this.isRecent(key) ? hostCopyLoadTime : storeLoadTime * this._slowdown) + loadMargin }

  /** Pause before a load that takes longer than expected is asked after again. */
  retryAfter (soFar: Ms): Ms { return Math.max(minLateRetry, soFar * lateRetryShare) }

  /** The least time any load takes. */
  get shortest (): Ms { return hostCopyLoadTime }

  /**
   * Learns from a load that is over.
   *
   * @param key - the adapter
   * @param took - ms from its order
   * @param late - whether it was not over when it should have been
   */
  record (key: string, took: Ms, late: boolean): void {
    if (this.isRecent(key)) return
    const seen = late ? took / storeLoadTime : this._slowdown * onTimeFactor
    this._slowdown = Math.max(minSlowdown, this._slowdown + slowdownWeight * (seen - this._slowdown))
  }
}
