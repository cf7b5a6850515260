/**
 * Time limits of an answer that is awaited or being received.
 */
import type { Ms } from './clock.js'

/**
 * Limits on an answer whose size grows, such as a listing. A limit on the whole answer alone would reject it on a slow
 * link however steadily it arrives, and so would each repetition.
 */
export interface TransferLimits {
  /** Longest ms between two parts of the answer. */
  readonly pause: Ms
  /** Ms from the answer's first part until it must be complete. */
  readonly total: Ms
}

/** Limits on one answer. */
export interface AnswerLimits {
  /** Ms until the answer must begin; without `transfer`, until it must be complete. */
  readonly timeout: Ms
  readonly transfer?: TransferLimits
}

/** Ends the wait for an answer that does not arrive in time. */
export class AnswerDeadline {
  private _timer: NodeJS.Timeout | undefined
  private _dueAt: Ms
  /** When the answer must be complete. */
  private _endAt: Ms = Infinity
  private _cause: string
  private _isStopped = false

  /**
   * @param _limits - limits on the answer
   * @param _expire - called with the cause, once, when a limit is exceeded
   */
  constructor (private readonly _limits: AnswerLimits, private readonly _expire: (cause: string) => void) {
    this._dueAt = performance.now() + _limits.timeout
    this._cause = `No answer within ${Math.round(_limits.timeout)} ms.`
    this._arm()
  }

  /** Records that a part of the answer has arrived. */
  progress (): void {
    const { timeout, transfer } = this._limits
    if (transfer === undefined) {
      this._cause = `No complete answer within ${Math.round(timeout)} ms.`
      return
    }
    const now = performance.now()
    if (this._endAt === Infinity) this._endAt = now + transfer.total
    this._dueAt = Math.min(now + transfer.pause, this._endAt)
    this._cause = this._dueAt === this._endAt ? `The answer was not complete after ${transfer.total} ms.` : `The answer paused for ${transfer.pause} ms.`
  }

  stop (): void {
    this._isStopped = true
    clearTimeout(this._timer)
  }

  private _arm (): void { this._timer = setTimeout(() => this._check(), Math.max(1, this._dueAt - performance.now())) }

  /**
   * On a busy host the timer may fire in the same turn of the event loop in which the answer is about to be read. A call
   * that gave up then would count as unanswered although its answer arrived in time.
   */
  private _check (): void {
    setImmediate(() => setImmediate(() => {
      if (this._isStopped) return
      if (performance.now() < this._dueAt) this._arm()
      else this._expire(this._cause)
    }))
  }
}
