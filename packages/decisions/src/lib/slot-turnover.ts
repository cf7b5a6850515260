/**
 * Expected wait for an adapter slot of one engine, learned from the adapter slots that became free there.
 */
import type { Ms } from '@hazelford/core'
import { MovingAverage } from './moving-average.js'

/** Weight of one interval in the mean, so that about ten loads determine it. */
const intervalWeight = 0.1
/** Intervals seen before a wait is predicted. */
const minIntervals = 10
/** Age of the last interval from which the engine may have changed too much for a prediction. */
const intervalTtl: Ms = 5_000

/**
 * Rate at which adapter slots become free for adapters that wait.
 *
 * Counted are the intervals between two of them while an adapter waited all the time, so that a time without demand does
 * not look like a slow engine. The rate includes every limit: uses that end, loads in transit and the weight store.
 */
export class SlotTurnover {
  private readonly _interval = new MovingAverage(0, intervalWeight)
  private _intervals = 0
  /** Since when an adapter has waited and no adapter slot became free; undefined while none waits. */
  private _waitingSince: Ms | undefined
  private _lastAt: Ms = -Infinity

  /** Records whether adapters wait for an adapter slot. */
  recordWaiting (isWaiting: boolean, now: Ms): void {
    this._waitingSince = isWaiting ? this._waitingSince ?? now : undefined
  }

  /** Records that an adapter slot has become free for an adapter that waits. */
  recordFreed (now: Ms): void {
    if (this._waitingSince === undefined) return
    const interval = now - this._waitingSince
    this._interval.add(interval)
    this._intervals++
    this._waitingSince = now
    this._lastAt = now
  }

  /**
   * Expected time until an adapter slot is free for an adapter.
   *
   * @param ahead - adapters that are loaded before
   * @returns undefined while too little was seen
   */
  expectedWait (ahead: number, now: Ms): Ms | undefined {
    if (this._intervals < minIntervals || now - this._lastAt > intervalTtl) return undefined
    return (ahead + 1) * this._interval.value
  }
}
