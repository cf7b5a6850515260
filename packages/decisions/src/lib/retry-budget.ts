/**
 * Limits retries to a share of first attempts.
 */
import type { Ms } from '@hazelford/core'

const burst = 10

/**
 * Token bucket that first attempts fill.
 *
 * When an availability zone fails, every request there fails. Retrying all of them multiplies the load on the remaining
 * zones, which then fail too: the rate of retries grows with the rate of failures. The bucket keeps retries under a
 * fixed share.
 */
export class RetryBudget {
  private _tokens = burst

  /** @param _share - retries allowed per first attempt, such as 0.1 */
  constructor (private readonly _share: number) {}

  /** Counts a first attempt. */
  firstAttempt (): void {
    this._tokens = Math.min(burst, this._tokens + this._share)
  }

  /**
   * Takes a retry from the budget.
   *
   * @returns false when the budget is spent
   */
  takeRetry (): boolean {
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}

/** Limits of a backoff. */
export interface BackoffLimits {
  readonly base: Ms
  readonly cap: Ms
}

/**
 * Exponential backoff with full jitter.
 *
 * @param attempt - failures so far, from 1
 * @param limits - first step and upper limit in ms
 * @param random - uniform in [0, 1)
 * @returns ms to wait
 */
export function fullJitter (attempt: number, limits: BackoffLimits, random: () => number): Ms {
  const ceiling = Math.min(limits.cap, limits.base * 2 ** (attempt - 1))
  return random() * ceiling
}
