/**
 * Expected times of an engine's loads, learned from the loads that have ended.
 */
import type { Ms } from '@hazelford/core'

/** Initial estimates from the description of typical engines, corrected by the loads that have ended. */
const storeLoadTime: Ms = 250
const hostCopyLoadTime: Ms = 25
/** Margin on an expected load time: the engine's next step. */
const loadMargin: Ms = 2
/** Share of a late load's time so far after which the engine is asked again, and the least pause before that. */
const lateRetryShare = 0.12
const minLateRetry: Ms = 12
/**
 * Weight of one load in the slowdown, which the last few loads determine. Loads slow down while many run at a time, and
 * no entry sees all of them.
 */
const slowdownWeight = 0.3
/**
 * Factor on the expected time of a load that had ended when the engine was first asked: it may have ended some time
 * before, so it counts as 15 % faster than expected.
 */
const onTimeFactor = 0.85
const minSlowdown = 0.1
/** Number of adapters of which an engine keeps copies in its host's memory. */
const recentCapacity = 120

/** Expected load times of one engine. */
export class LoadTimes {
  private _slowdown = 1
  private readonly _recent = new Set<string>()

  /** Factor by which loads from the weight store take longer than estimated; under 1 if they are faster. */
  get slowdown (): number { return this._slowdown }

  /** Whether the adapter was loaded on this engine recently, so that a load reads a copy in its host's memory. */
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

  /** Pause before the engine is asked again about a load that takes longer than expected. */
  retryAfter (soFar: Ms): Ms { return Math.max(minLateRetry, soFar * lateRetryShare) }

  /** Shortest time of any load. */
  get shortest (): Ms { return hostCopyLoadTime }

  /**
   * Records a load that has ended.
   *
   * @param key - the adapter
   * @param took - ms since its order
   * @param isLate - whether it had not ended at the expected time
   */
  record (key: string, took: Ms, isLate: boolean): void {
    if (this.isRecent(key)) return
    const observed = isLate ? took / storeLoadTime : this._slowdown * onTimeFactor
    this._slowdown = Math.max(minSlowdown, this._slowdown + slowdownWeight * (observed - this._slowdown))
  }
}
