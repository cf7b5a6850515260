/**
 * Limits the rate of loads of one sidecar while it receives no information on the other sidecars' loads.
 */
import type { Ms } from '@hazelford/core'

/**
 * A load that took longer than the fastest one by this factor shared the weight store with so many others that a
 * further load only adds to the wait of all. Two loads at a time cost no throughput.
 */
const contendedFactor = 3
const intervalGrowth = 1.5
const intervalShrink = 0.6
/**
 * Growth of the fastest load time with each load, so that a store that has become slower is not taken for a busy one
 * for ever.
 */
const fastestLoadDrift = 1.02

/**
 * Shortens the interval between loads while loads are fast, and lengthens it, up to the safe interval, while they are
 * slow or fail.
 *
 * An equal share of the store's rate is safe, but most sidecars need less than theirs at any moment and some need more.
 * The time of a load shows how many loads run at once.
 */
export class LoadThrottle {
  private _interval: Ms
  private _fastestLoad: Ms = Infinity
  private _lastStart: Ms = -Infinity

  /** @param _share - interval in ms that is safe if all sidecars load at the same rate */
  constructor (private readonly _share: Ms) { this._interval = _share }

  /** Ms until the next load may start. */
  delay (now: Ms): Ms { return Math.max(0, this._lastStart + this._interval - now) }

  /** Records the start of a load. */
  recordStart (now: Ms): void { this._lastStart = now }

  /**
   * Records the end of a load.
   *
   * @param took - ms
   * @param loaded - false when the store refused the load or it failed
   */
  recordEnd (took: Ms, loaded: boolean): void {
    if (loaded) this._fastestLoad = Math.min(this._fastestLoad * fastestLoadDrift, took)
    const contended = !loaded || took > this._fastestLoad * contendedFactor
    this._interval = contended
      ? Math.min(this._share, Math.max(this._interval, this._share / 4) * intervalGrowth)
      : this._interval * intervalShrink
  }
}
