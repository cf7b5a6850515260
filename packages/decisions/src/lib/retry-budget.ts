/**
 * Bounds retries to a share of first attempts.
 */
import type { Ms } from '@hazelford/core'

const burst = 10

/**
 * Token bucket filled by first attempts.
 *
 * When a zone fails, every request there fails. Retrying all of them multiplies the
 * load on the zones that are left, which then fail too. The signature is a retry rate
 * that grows with the failure rate; a bucket keeps it under a fixed share.
 */
export class RetryBudget {
  private _tokens = burst

  /** @param _share - retries allowed per first attempt, such as 0.1 */
  constructor (private readonly _share: number) {}

  /** Notes a first attempt. */
  firstAttempt (): void {
    this._tokens = Math.min(burst, this._tokens + this._share)
  }

  /** Takes a retry from the budget. */
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
