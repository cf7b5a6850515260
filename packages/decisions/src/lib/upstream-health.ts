/**
 * Health of one upstream, as one entry judges it by the upstream's answers.
 */
import type { Ms } from '@hazelford/core'
import { MovingAverage } from './moving-average.js'

/**
 * Outcome of one exchange.
 *
 * - `unreachable`: no connection.
 * - `lost`: the connection broke or became silent after the request was sent.
 * - `endless`: it sent more than a sound upstream does, until the connection was closed.
 * - `refused`: the upstream answered that it is full or leaving; it is running.
 * - `error`: a complete answer with a status of 500 or more.
 */
export type ExchangeOutcome = 'answered' | 'unreachable' | 'lost' | 'endless' | 'refused' | 'error'

/** Failures in a row after which an upstream gets no new requests for a while. */
const ejectAfter = 2
/** Duration of the first ejection; a crashed upstream is back or gone within a few of these. */
const ejectBase: Ms = 500
const ejectCap: Ms = 4_000
/**
 * Share of failures above which an upstream is ejected although some answers are good. Applications answer a few
 * requests in a hundred with errors of their own; one that fails a third of them is faulty.
 */
const ejectShare = 0.3
const minSamples = 8
/** Weight of one outcome in the share of failures: about the last ten count. */
const shareWeight = 0.1

/** Ejects an upstream that fails, for longer each time, and readmits it afterwards. */
export class UpstreamHealth {
  private readonly _failureShare = new MovingAverage(0, shareWeight)
  private readonly _latency = new MovingAverage(0, 0.1)
  private _samples = 0
  private _failuresInRow = 0
  private _ejections = 0
  private _ejectedUntil: Ms = -Infinity

  /** Moving average of the ms to the first byte of an answer; 0 before the first answer. */
  get latency (): Ms { return this._latency.measured }

  get failureShare (): number { return this._failureShare.measured }

  /** Whether the upstream should get new requests while others can take them. */
  accepts (now: Ms): boolean { return now >= this._ejectedUntil }

  /**
   * Records the outcome of an exchange.
   *
   * @param outcome - as seen by this entry
   * @param now - time
   * @param latency - ms to the first byte, for an answer
   * @returns whether the upstream was ejected for it
   */
  recordOutcome (outcome: ExchangeOutcome, now: Ms, latency?: Ms): boolean {
    if (latency !== undefined) this._latency.add(latency)
    const failed = outcome !== 'answered' && outcome !== 'refused'
    this._samples++
    this._failureShare.add(failed ? 1 : 0)
    // An error is an answer, so the upstream is running; only a high share of errors ejects it.
    this._failuresInRow = outcome === 'unreachable' || outcome === 'lost' || outcome === 'endless' ? this._failuresInRow + 1 : 0
    if (outcome === 'answered' && this._failureShare.measured < ejectShare / 2) this._ejections = 0
    const isFailing = this._samples >= minSamples && this._failureShare.measured > ejectShare && failed
    const ejectsAtOnce = outcome === 'unreachable' || outcome === 'endless'
    if (!ejectsAtOnce && this._failuresInRow < ejectAfter && !isFailing) return false
    this._eject(now)
    return true
  }

  private _eject (now: Ms): void {
    const wasEjected = now < this._ejectedUntil
    if (!wasEjected) this._ejections++
    this._ejectedUntil = now + Math.min(ejectCap, ejectBase * 2 ** (this._ejections - 1))
    this._failuresInRow = 0
  }
}
