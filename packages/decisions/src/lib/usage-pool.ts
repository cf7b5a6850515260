/**
 * Credit of one account that an entry was granted.
 */
import { elapsed, type Instant, type Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'
import { type UsageGrant, type UsageRow, reportTtl } from './usage-allocator.js'

/** Whether there is credit for a request. */
export type SpendResult =
  | { readonly kind: 'spent' }
  /** The allocator must be asked. */
  | { readonly kind: 'short' }
  /** The allocator has answered that it will have credit soon: the request waits. */
  | { readonly kind: 'held', readonly retryAfter: Ms }
  /** The allocator has answered that it has no credit for now: the request is refused. */
  | { readonly kind: 'closed', readonly retryAfter: Ms }

/** Time for which credit is asked for ahead of need. */
const aheadTime: Ms = 700
/** More credit is asked for when less than this share of the credit wanted ahead of need is left. */
const lowShare = 0.5
/** Credit beyond this multiple of the credit wanted ahead of need is returned. */
const surplusFactor = 2
const demandHalfLife: Ms = 700
/**
 * Longest wait for credit for which a request is queued and not refused. It bridges a bucket that is empty for a moment;
 * a caller that is refused would not come back any sooner.
 */
const maxCreditWait: Ms = 150
/**
 * Longest wait for credit just after the start of the process. All entries may have started together; then all buckets are empty and all
 * callers return at once, and the credit that they need accrues within about a second.
 */
const maxCreditWaitAtStart: Ms = 800
const startPeriod: Ms = 3_000
/**
 * Shortest time for which the allocator's answer that it has no credit is relied on. Otherwise each request would ask
 * anew, and the allocator of an account that is far over its limit would get a message per request.
 */
const minExhaustedTime: Ms = 100
/** Time after which granted credit expires, shortly before its allocator stops counting it. */
const creditTtl: Ms = reportTtl - 300
/** Key of the only counter: what requests ask for here, granted or not. */
const demandKey = 'asked'

/** One account's credit at one entry. */
export class UsagePool {
  private _available = 0
  /** Time at which the last answered report was sent. */
  private _confirmedAt: Instant | undefined
  /** Time until which the allocator is not asked, since it has no credit. */
  private _exhaustedUntil: Ms = -Infinity
  /** Time at which the allocator expects to have credit for all waiting requests. */
  private _creditExpectedAt: Ms = -Infinity
  private readonly _demand = new DecayedCounter(demandHalfLife, 1)
  private _largestCost = 0

  /** @param _startedAt - when the process started */
  constructor (private readonly _startedAt: Ms) {}

  /** Counts the cost of a request. */
  count (cost: number, now: Ms): void {
    this._demand.add(demandKey, now, cost)
    this._largestCost = Math.max(this._largestCost * 0.98, cost)
  }

  /** Takes the cost of a request from the credit. */
  spend (cost: number, at: Instant): SpendResult {
    if (cost <= this.available(at)) {
      this._available -= cost
      return { kind: 'spent' }
    }
    return this.expectedAvailability(at.now)
  }

  /** What the allocator's last answer means for a request that can't be admitted now. */
  expectedAvailability (now: Ms): SpendResult & { readonly kind: 'short' | 'held' | 'closed' } {
    if (now >= this._exhaustedUntil) return { kind: 'short' }
    const wait = this._creditExpectedAt - now
    return wait <= this._longestCreditWait(now) ? { kind: 'held', retryAfter: Math.max(0, wait) } : { kind: 'closed', retryAfter: wait }
  }

  private _longestCreditWait (now: Ms): Ms { return now - this._startedAt < startPeriod ? maxCreditWaitAtStart : maxCreditWait }

  /** Returns the cost of a request that did not run. */
  refund (cost: number): void { this._available += cost }

  /** Credit that can be used; it expires, since its allocator stops counting it. */
  available (at: Instant): number {
    return this._confirmedAt !== undefined && elapsed(this._confirmedAt, at) < creditTtl ? this._available : 0
  }

  /** Whether more credit should be asked for ahead of need. */
  isLow (at: Instant): boolean { return at.now >= this._exhaustedUntil && this.available(at) < this._target(at.now) * lowShare }

  /**
   * Credit wanted ahead of need. It is 0 for an account with few requests here: none is expected soon, and credit for
   * them would lie unused.
   */
  private _target (now: Ms): number {
    const expected = this._demand.read(demandKey, now) * Math.LN2 / demandHalfLife * aheadTime
    return expected < this._largestCost ? 0 : expected
  }

  /**
   * Report to the allocator on this account.
   *
   * @param first - cost of the first request that waits for credit; 0 when none waits
   * @param waiting - cost of all requests that wait
   * @returns undefined when there is nothing to report
   */
  row (account: string, first: number, waiting: number, at: Instant): UsageRow | undefined {
    this._available = this.available(at)
    const target = this._target(at.now)
    const returned = Math.floor(Math.max(0, this._available - waiting - surplusFactor * target))
    this._available -= returned
    const missing = Math.max(0, waiting - this._available)
    const left = Math.max(0, this._available - waiting)
    const row = {
      account,
      holding: Math.ceil(this._available),
      first: Math.ceil(Math.max(0, first - this._available)),
      waiting: Math.ceil(missing),
      ahead: Math.ceil(Math.max(0, target - left)),
      returned
    }
    return row.holding + row.waiting + row.ahead + row.returned === 0 ? undefined : row
  }

  /** Applies the allocator's answer to a report that was sent at `sent`. */
  applyGrant ({ granted, wait }: UsageGrant, sent: Instant, at: Instant): void {
    this._available = this.available(at) + granted
    this._confirmedAt = sent
    this._creditExpectedAt = at.now + wait
    this._exhaustedUntil = wait === 0 ? -Infinity : at.now + Math.max(minExhaustedTime, Math.min(wait, maxCreditWait))
  }
}
