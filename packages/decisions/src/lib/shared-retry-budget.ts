/**
 * One process's part of a retry budget that all entries share.
 */
import type { Ms } from '@hazelford/core'

/** The bound on repeats to one service, summed over all entries. */
export interface SharedBudgetLimits {
  /** Repeats allowed for each request. */
  readonly ratio: number
  /** Repeats allowed on top in each window. */
  readonly slack: number
  readonly window: Ms
}

/**
 * Share of the allowance that is used. Windows slide and the entries' clocks and views
 * of each other differ, so the sum of full shares would at times pass the bound.
 */
const usedShare = 0.8

/** Times of past events within a window, oldest first. */
class EventWindow {
  private _times: Ms[] = []
  private _from = 0

  add (now: Ms): void { this._times.push(now) }

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
 * Bounds repeats to a share of this entry's own requests and its part of the slack.
 *
 * When a zone fails, every request there fails. Repeating all of them multiplies the load
 * on the upstreams that are left, which then fail too. Entries can't ask each other before
 * each repeat, so each keeps within what it may use alone: the sum then keeps within the
 * bound, since requests are counted once, by the entry that takes them.
 */
export class SharedRetryBudget {
  private readonly _requests = new EventWindow()
  private readonly _repeats = new EventWindow()

  constructor (private _limits: SharedBudgetLimits) {}

  /** Changes the bound; what was spent stays spent. */
  limit (limits: SharedBudgetLimits): void { this._limits = limits }

  request (now: Ms): void { this._requests.add(now) }

  /**
   * Takes one repeat.
   *
   * @param now - time
   * @param entries - entries that share the slack, at least 1
   * @returns false when the budget is spent
   */
  takeRepeat (now: Ms, entries: number): boolean {
    const { ratio, slack, window } = this._limits
    const allowed = usedShare * (ratio * this._requests.count(now, window) + slack / Math.max(1, entries))
    if (this._repeats.count(now, window) + 1 > allowed) return false
    this._repeats.add(now)
    return true
  }
}
