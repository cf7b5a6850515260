/**
 * Paces the loads of one sidecar while nothing tells it of the others.
 */
import type { Ms } from '@hazelford/core'

/**
 * A load this much slower than the fastest seen shared the store with so many others
 * that a further one only adds to everybody's wait. Two at a time cost no throughput.
 */
const contendedFactor = 3
const intervalGrowth = 1.5
const intervalShrink = 0.6
/** Old records fade, so that a store that became slower is not taken for a busy one for ever. */
const fastestLoadDrift = 1.02

/**
 * Shortens the interval while loads are fast and lengthens it, up to the safe share,
 * while they are slow or fail.
 *
 * A fixed share of the store's rate is safe, but most sidecars need less than theirs
 * at any moment and some need more. The time of a load shows how many run at once.
 */
export class LoadThrottle {
  private _interval: Ms
  private _fastestLoad: Ms = Infinity
  private _lastStart: Ms = -Infinity

  /** @param _share - interval that is safe if all sidecars load at the same rate, in ms */
  constructor (private readonly _share: Ms) { this._interval = _share }

  /** Ms to wait before the next load may start. */
  delay (now: Ms): Ms { return Math.max(0, this._lastStart + this._interval - now) }

  /** Notes that a load starts. */
  started (now: Ms): void { this._lastStart = now }

  /**
   * Notes how a load went.
   *
   * @param took - ms
   * @param loaded - false when the store refused or failed
   */
  ended (took: Ms, loaded: boolean): void {
    if (loaded) this._fastestLoad = Math.min(this._fastestLoad * fastestLoadDrift, took)
    const contended = !loaded || took > this._fastestLoad * contendedFactor
    this._interval = contended
      ? Math.min(this._share, Math.max(this._interval, this._share / 4) * intervalGrowth)
      : this._interval * intervalShrink
  }
}
