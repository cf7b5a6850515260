/**
 * What entries report to an engine's holder of streams that ended there.
 */
import { isNonNegativeNumber } from '../non-negative-number.js'

/** Streams that ended at an engine since an entry's last report. */
export interface StreamReport {
  readonly streams: number
  /** Number of them that had a pause above the route's target. */
  readonly paused: number
  /**
   * Pace of each of them, as a multiple of that of all streams of the service which the entry has relayed lately, for
   * those with enough events and nothing that delayed them; undefined without one, and from an entry of a version that does not measure it.
   */
  readonly paces?: readonly number[]
}

/** Largest number of paces in one report; further ones are left out. */
const maxPaces = 8
/** Largest multiple that counts. */
const largestPace = 1_000

function isPace (value: unknown): value is number { return isNonNegativeNumber(value) && value > 0 && value <= largestPace }

/** Counts streams that end at one engine until they are reported. */
export class EndedStreams {
  private _streams = 0
  private _paused = 0
  private _paces: number[] = []

  /**
   * Records a stream that ended.
   *
   * @param paused - whether it had too long a pause
   * @param pace - its pace as a multiple of that of all streams; undefined when not measured
   */
  record (paused: boolean, pace: number | undefined): void {
    this._streams++
    if (paused) this._paused++
    if (pace !== undefined && this._paces.length < maxPaces) this._paces.push(Math.round(pace * 1_000) / 1_000)
  }

  /** Returns the report and starts a new one. */
  take (): StreamReport {
    const report = { streams: this._streams, paused: this._paused, ...(this._paces.length === 0 ? {} : { paces: this._paces }) }
    this._streams = 0
    this._paused = 0
    this._paces = []
    return report
  }
}

/**
 * Reads the report in a message of another entry. A count that is no number would make every later rate NaN.
 *
 * @param value - decoded JSON; an entry of a version that reports no streams leaves the fields out
 */
export function readStreamReport (value: unknown): Required<StreamReport> {
  const { streams, paused, paces } = (value ?? {}) as Record<string, unknown>
  const count = isNonNegativeNumber(streams) ? streams : 0
  return { streams: count, paused: isNonNegativeNumber(paused) ? Math.min(paused, count) : 0, paces: Array.isArray(paces) ? paces.filter(isPace).slice(0, maxPaces) : [] }
}
