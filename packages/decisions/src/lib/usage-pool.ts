/**
 * Credit of one organisation that an entry was lent.
 */
import { elapsed, type Instant, type Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'
import { type UsageGrant, type UsageRow, wordLasts } from './usage-keeper.js'

/** Whether a request's usage can be had. */
export type Spending =
  | { readonly kind: 'spent' }
  /** The keeper must be asked. */
  | { readonly kind: 'short' }
  /** The keeper has just said that there is none for now. */
  | { readonly kind: 'closed', readonly retryAfter: Ms }

/** Time for which credit is wanted ahead of need. */
const ahead: Ms = 700
/** Part of what is wanted ahead below which more is asked for. */
const lowShare = 0.5
/** Above what is wanted ahead by this factor, the rest is given back. */
const surplusFactor = 2
const demandHalfLife: Ms = 700
/**
 * Shortest time for which a keeper's no counts. Asked by each request anew, the keeper of an organisation that is far over
 * its limit would get a message a request.
 */
const closedAtLeast: Ms = 120
/** What is lent lapses before its keeper stops counting it. */
const creditLasts: Ms = wordLasts - 300
/** Key of the one counter: what is asked for here, granted or not. */
const asked = 'asked'

/** One organisation's credit at one entry. */
export class UsagePool {
  private _available = 0
  /** Of the last report that was answered, when it was sent. */
  private _provedAt: Instant | undefined
  private _closedUntil: Ms = -Infinity
  private _retryAt: Ms = -Infinity
  private readonly _demand = new DecayedCounter(demandHalfLife, 1)
  private _largest = 0

  /** Counts what a request asks for. */
  count (cost: number, now: Ms): void {
    this._demand.add(asked, now, cost)
    this._largest = Math.max(this._largest * 0.98, cost)
  }

  /** Takes a request's usage. */
  spend (cost: number, at: Instant): Spending {
    if (cost <= this.available(at)) {
      this._available -= cost
      return { kind: 'spent' }
    }
    if (at.now < this._closedUntil) return { kind: 'closed', retryAfter: Math.max(closedAtLeast, this._retryAt - at.now) }
    return { kind: 'short' }
  }

  /** Gives back what a request took that did not run. */
  refund (cost: number): void { this._available += cost }

  /** Credit that can be used; what was lent lapses, since its keeper forgets it. */
  available (at: Instant): number {
    return this._provedAt !== undefined && elapsed(this._provedAt, at) < creditLasts ? this._available : 0
  }

  /** Whether more should be asked for ahead of need. */
  isLow (at: Instant): boolean { return at.now >= this._closedUntil && this.available(at) < this._target(at.now) * lowShare }

  private _target (now: Ms): number {
    const perMs = this._demand.read(asked, now) * Math.LN2 / demandHalfLife
    return perMs * ahead < 1 ? 0 : perMs * ahead + this._largest
  }

  /**
   * What to tell the keeper.
   *
   * @param first - what the first request costs that waits for credit; 0 when none waits
   * @param waiting - what all cost that wait
   * @returns undefined when there is nothing to tell
   */
  row (organisation: string, first: number, waiting: number, at: Instant): UsageRow | undefined {
    this._available = this.available(at)
    const target = this._target(at.now) + waiting
    const returned = Math.max(0, this._available - surplusFactor * target)
    this._available -= returned
    const want = Math.max(0, target - this._available)
    if (want === 0 && returned === 0 && this._available === 0) return undefined
    return { organisation, holding: Math.ceil(this._available), first: Math.max(0, Math.ceil(first - this._available)), want: Math.ceil(want), returned: Math.floor(returned) }
  }

  /** Takes the keeper's answer to a report that was sent at `sent`. */
  take ({ granted, wait }: UsageGrant, sent: Instant, at: Instant): void {
    this._available = this.available(at) + granted
    this._provedAt = sent
    if (wait === 0) return
    this._retryAt = at.now + wait
    this._closedUntil = at.now + closedAtLeast
  }
}
