/**
 * Hybrid logical clock: stamps that respect causality across processes whose
 * wall clocks differ.
 */
import type { Clock, Ms } from './clock.js'

/** A stamp: wall time in ms, then a counter that orders events within one ms. */
export interface HlcStamp {
  readonly wall: Ms
  readonly count: number
}

/**
 * Issues stamps that are greater than every earlier local stamp and every stamp received.
 *
 * Source: Kulkarni et al., "Logical Physical Clocks", 2014.
 */
export class HybridClock {
  private _last: HlcStamp = { wall: 0, count: 0 }

  constructor (private readonly _clock: Clock) {}

  /** Issues the stamp of a local event or of a batch that is about to be sent. */
  tick (): HlcStamp {
    const wall = Math.floor(this._clock.wall())
    this._last = wall > this._last.wall
      ? { wall, count: 0 }
      : { wall: this._last.wall, count: this._last.count + 1 }
    return this._last
  }

  /**
   * Observes the stamp of a received batch, so that later local stamps sort after it.
   *
   * @param remote - stamp of the sender
   */
  observe (remote: HlcStamp): void {
    if (compareStamps(remote, this._last) > 0) this._last = remote
  }
}

/**
 * Compares two stamps.
 *
 * @returns negative, 0 or positive, as for `Array.sort`
 */
export function compareStamps (a: HlcStamp, b: HlcStamp): number {
  return a.wall - b.wall || a.count - b.count
}
