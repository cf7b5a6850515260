/**
 * One entry's part of a retry budget that all entries share.
 */
import type { Ms } from '@hazelford/core'

/** Limit on the retries of requests to one service, summed over all entries. */
export interface SharedBudgetLimits {
  /** Retries allowed for each request. */
  readonly ratio: number
  /** Retries allowed in addition in each window. */
  readonly slack: number
  readonly window: Ms
}

/**
 * Share of the allowance that an entry uses. Windows slide, and the entries' clocks and views of each other differ, so
 * the sum of full allowances would at times exceed the limit.
 */
const usedShare = 0.8

/**
 * Why a request is sent again.
 *
 * - `failed`: no upstream has it any more, and without another one its caller gets no answer.
 * - `stalled`: the upstream that has it is silent, and may have terminated.
 * - `overdue`: an upstream still has it, and may answer late.
 */
export type RetryCause = 'failed' | 'stalled' | 'overdue'

/** Share of what an entry may use that overdue requests leave to failed ones. */
const leftToFailed = 0.5

/** Times of past events within a window, oldest first. */
class EventWindow {
  private _times: Ms[] = []
  private _from = 0

  add (now: Ms): void { this._times.push(now) }

  /** Removes the newest event. */
  removeLast (): void { if (this._times.length > this._from) this._times.pop() }

  count (now: Ms, window: Ms): number {
    while (this._from < this._times.length && this._times[this._from]! <= now - window) this._from++
    if (this._from > 1_000 && this._from * 2 > this._times.length) {
      this._times = this._times.slice(this._from)
      this._from = 0
    }
    return this._times.length - this._from
  }
}

/**
 * Limits retries to a share of this entry's own requests and its part of the slack.
 *
 * When an availability zone fails, every request there fails. Retrying all of them multiplies the load on the remaining
 * upstreams, which then fail too. Entries can't ask each other before each retry, so each stays within what it may use
 * alone. The sum then stays within the limit, since each request is counted once, by the entry that receives it.
 */
export class SharedRetryBudget {
  private readonly _requests = new EventWindow()
  private readonly _retries = new EventWindow()

  constructor (private _limits: SharedBudgetLimits) {}

  /** Changes the limit; retries that were taken stay counted. */
  limit (limits: SharedBudgetLimits): void { this._limits = limits }

  recordRequest (now: Ms): void { this._requests.add(now) }

  /**
   * Takes one retry from the budget.
   *
   * @param now - time
   * @param entries - entries that share the slack, at least 1
   * @param cause - why the request is sent again
   * @returns false when the budget is spent
   */
  takeRetry (now: Ms, entries: number, cause: RetryCause = 'failed'): boolean {
    if (!this.hasRetry(now, entries, cause)) return false
    this._retries.add(now)
    return true
  }

  /** Whether the budget leaves a retry; the parameters are those of {@link takeRetry}. */
  hasRetry (now: Ms, entries: number, cause: RetryCause): boolean {
    const { ratio, slack, window } = this._limits
    const allowed = usedShare * (ratio * this._requests.count(now, window) + slack / Math.max(1, entries))
    return this._retries.count(now, window) + 1 <= allowed * (cause === 'overdue' ? 1 - leftToFailed : 1)
  }

  /** Returns a retry that was taken, but reached no upstream. */
  returnRetry (): void { this._retries.removeLast() }
}
