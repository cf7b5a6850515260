/**
 * Credit of one account that an entry was lent.
 */
import { elapsed, type Instant, type Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'
import { type UsageGrant, type UsageRow, reportTtl } from './usage-allocator.js'

/** Whether a request's usage can be had. */
export type SpendResult =
  | { readonly kind: 'spent' }
  /** The keeper must be asked. */
  | { readonly kind: 'short' }
  /** The keeper was asked, and has some soon. */
  | { readonly kind: 'held', readonly retryAfter: Ms }
  /** The keeper has said that there is none for now. */
  | { readonly kind: 'closed', readonly retryAfter: Ms }

/** Time for which credit is wanted ahead of need. */
const aheadTime: Ms = 700
/** Part of what is wanted ahead below which more is asked for. */
const lowShare = 0.5
/** Above what is wanted ahead by this factor, the rest is given back. */
const surplusFactor = 2
const demandHalfLife: Ms = 700
/**
 * Longest wait for which a request is held, not refused: a bucket that is empty for a moment only. A caller who is
 * refused comes back no sooner.
 */
const maxCreditWait: Ms = 150
/**
 * The same just after the start of a process. All entries may have started, and then all buckets are empty and all callers
 * come back together; what they ask for can be had within about a second.
 */
const maxCreditWaitAtStart: Ms = 800
const startPeriod: Ms = 3_000
/**
 * Shortest time for which a keeper's word counts that it has none. Asked by each request anew, the keeper of an
 * account that is far over its limit would get a message a request.
 */
const minExhaustedTime: Ms = 100
/** What is lent lapses before its keeper stops counting it. */
const creditTtl: Ms = reportTtl - 300
/** Key of the one counter: what is asked for here, granted or not. */
const demandKey = 'asked'

/** One account's credit at one entry. */
export class UsagePool {
  private _available = 0
  /** Of the last report that was answered, when it was sent. */
  private _confirmedAt: Instant | undefined
  /** Until when the keeper need not be asked, since it has none. */
  private _exhaustedUntil: Ms = -Infinity
  /** When the keeper can lend to all who wait. */
  private _creditExpectedAt: Ms = -Infinity
  private readonly _demand = new DecayedCounter(demandHalfLife, 1)
  private _largestCost = 0

  /** @param _startedAt - of the process */
  constructor (private readonly _startedAt: Ms) {}

  /** Counts what a request asks for. */
  count (cost: number, now: Ms): void {
    this._demand.add(demandKey, now, cost)
    this._largestCost = Math.max(this._largestCost * 0.98, cost)
  }

  /** Takes a request's usage. */
  spend (cost: number, at: Instant): SpendResult {
    if (cost <= this.available(at)) {
      this._available -= cost
      return { kind: 'spent' }
    }
    return this.expectedAvailability(at.now)
  }

  /** What the keeper's last word means for a request that can't be let in now. */
  expectedAvailability (now: Ms): SpendResult & { readonly kind: 'short' | 'held' | 'closed' } {
    if (now >= this._exhaustedUntil) return { kind: 'short' }
    const wait = this._creditExpectedAt - now
    return wait <= this._longestCreditWait(now) ? { kind: 'held', retryAfter: Math.max(0, wait) } : { kind: 'closed', retryAfter: wait }
  }

  private _longestCreditWait (now: Ms): Ms { return now - this._startedAt < startPeriod ? maxCreditWaitAtStart : maxCreditWait }

  /** Gives back what a request took that did not run. */
  refund (cost: number): void { this._available += cost }

  /** Credit that can be used; what was lent lapses, since its keeper forgets it. */
  available (at: Instant): number {
    return this._confirmedAt !== undefined && elapsed(this._confirmedAt, at) < creditTtl ? this._available : 0
  }

  /** Whether more should be asked for ahead of need. */
  isLow (at: Instant): boolean { return at.now >= this._exhaustedUntil && this.available(at) < this._target(at.now) * lowShare }

  /** Of an account with few requests here, none is expected soon; what was lent for them would lie unused. */
  private _target (now: Ms): number {
    const expected = this._demand.read(demandKey, now) * Math.LN2 / demandHalfLife * aheadTime
    return expected < this._largestCost ? 0 : expected
  }

  /**
   * What to tell the keeper.
   *
   * @param first - what the first request costs that waits for credit; 0 when none waits
   * @param waiting - what all cost that wait
   * @returns undefined when there is nothing to tell
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

  /** Takes the keeper's answer to a report that was sent at `sent`. */
  applyGrant ({ granted, wait }: UsageGrant, sent: Instant, at: Instant): void {
    this._available = this.available(at) + granted
    this._confirmedAt = sent
    this._creditExpectedAt = at.now + wait
    this._exhaustedUntil = wait === 0 ? -Infinity : at.now + Math.max(minExhaustedTime, Math.min(wait, maxCreditWait))
  }
}
