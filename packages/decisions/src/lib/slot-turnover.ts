/**
 * Expected wait for an adapter slot of one engine, learned from the waits that have ended there.
 */
import type { Ms } from '@hazelford/core'
import { MovingAverage } from './moving-average.js'

/** Weight of one interval in the mean, so that about ten of them determine it. */
const intervalWeight = 0.1
/** Weight of one wait in the stretch. */
const waitWeight = 0.05
/** Intervals and waits seen before a wait is predicted. */
const minIntervals = 10
const minWaits = 10
/** Age of the last interval from which the engine may have changed too much for a prediction. */
const intervalTtl: Ms = 5_000

interface Wait { readonly since: Ms, readonly expected: Ms }

/**
 * Rate at which adapter slots become free for adapters that wait.
 *
 * Counted are the intervals between two of them while an adapter waited all the time, so that a time without demand does
 * not look like a slow engine. The rate includes every limit: uses that end, loads in transit and the weight store.
 * Adapters that are requested later may go first, which stretches the waits; the stretch is learned too, from waits that
 * ended with a load and from those that ended without one.
 */
export class SlotTurnover {
  private readonly _interval = new MovingAverage(0, intervalWeight)
  private readonly _expected = new MovingAverage(0, waitWeight)
  private readonly _actual = new MovingAverage(0, waitWeight)
  private _intervals = 0
  private _ended = 0
  private readonly _waits = new Map<string, Wait>()
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
    this._interval.add(now - this._waitingSince)
    this._intervals++
    this._waitingSince = now
    this._lastAt = now
  }

  /** Records that an adapter begins to wait behind `ahead` others. */
  beginWait (key: string, ahead: number, now: Ms): void {
    if (this._intervals >= minIntervals) this._waits.set(key, { since: now, expected: (ahead + 1) * this._interval.value })
  }

  /** Records that an adapter no longer waits: its load has started, or its callers have given up. */
  endWait (key: string, now: Ms): void {
    const wait = this._waits.get(key)
    if (wait === undefined) return
    this._waits.delete(key)
    this._expected.add(wait.expected)
    this._actual.add(now - wait.since)
    this._ended++
  }

  /**
   * Expected time until an adapter slot is free for an adapter.
   *
   * @param ahead - adapters that are loaded before
   * @returns undefined while too little was seen
   */
  expectedWait (ahead: number, now: Ms): Ms | undefined {
    if (this._ended < minWaits || now - this._lastAt > intervalTtl) return undefined
    const stretch = this._expected.value === 0 ? 1 : Math.max(1, this._actual.value / this._expected.value)
    return (ahead + 1) * this._interval.value * stretch
  }
}
