/**
 * Requests that wait for credit of the accounts that one keeper counts.
 */
import { assertNever, type CancelTimer, type Clock, type Instant, instantOf, type Log, type Ms } from '@hazelford/core'
import { type UsageGrant, UsagePool, type UsageReport, type UsageRow } from '@hazelford/decisions'

/** Whether a request's usage is within its account's limit. */
export type Admission =
  /** `refund` gives the usage back, once, when the request has not run. */
  | { readonly kind: 'admitted', readonly refund: () => void }
  | { readonly kind: 'over-limit', readonly retryAfter: Ms }

/** What a line needs. */
export interface CreditQueueOptions {
  readonly clock: Clock
  readonly log: Log
  /** Name of the entry. */
  readonly node: string
  /** Since when this process runs, and has reported to nobody. */
  readonly startedAt: Ms
  /** Whether anything is limited. */
  readonly isNeeded: () => boolean
  /** Whether requests wait for credit that comes soon; else they are refused once the keeper has said that it has none. */
  readonly waitsForCredit: boolean
  /** Reports to whoever counts; rejects for a fault of this entry only. */
  readonly report: (report: UsageReport) => Promise<readonly UsageGrant[]>
}

interface Waiter {
  readonly account: string
  readonly cost: number
  readonly decide: (admission: Admission) => void
}

/** A keeper counts an entry for as long as it hears it; the entry's part of all rates hangs on that. */
const reportEvery: Ms = 400
/** Least time between two reports that nobody waits for. */
const reportPause: Ms = 100
/** Pause before a keeper that had none is asked again for those who are held. */
const heldPause: Ms = 100
/** Longest time that a request waits for credit; the keeper's word says at once when it would be longer. */
const longestWait: Ms = 1_000
/** Shortest time after which a refused caller may return. */
const leastRetryAfter: Ms = 100
/** Spread of the times at which refused callers may return, as a part of the wait. */
const retrySpread = 0.5

/** Credit of some accounts at one entry. One report is under way at a time. */
export class CreditQueue {
  private readonly _pools = new Map<string, UsagePool>()
  private _waiting: Waiter[] = []
  private _reporting = false
  /** Whether those who are held are asked for soon. */
  private _isDue = false
  private _reportedAt: Ms
  private _stopped = false
  private _cancel: CancelTimer = () => {}

  constructor (private readonly _options: CreditQueueOptions) {
    this._reportedAt = _options.startedAt
    this._schedule()
  }

  stop (): void {
    this._stopped = true
    this._cancel()
  }

  /** Lets in all who wait for accounts that have no limit any more. */
  release (isFree: (account: string) => boolean): void {
    const free = this._waiting.filter(({ account }) => isFree(account))
    this._waiting = this._waiting.filter(({ account }) => !isFree(account))
    for (const account of [...this._pools.keys()]) if (isFree(account)) this._pools.delete(account)
    for (const { decide } of free) decide({ kind: 'admitted', refund: () => {} })
  }

  /** Takes a request's usage. */
  admit (account: string, cost: number): Admission | Promise<Admission> {
    const at = this._instant
    const pool = this._pool(account)
    pool.count(cost, at.now)
    const isFirst = !this._waiting.some(waiter => waiter.account === account)
    const spending = isFirst ? pool.spend(cost, at) : pool.expectedAvailability(at.now)
    switch (spending.kind) {
      case 'spent':
        if (pool.isLow(at)) this._reportSoon()
        return this._admitted(pool, cost)
      case 'closed': return this._refused(spending.retryAfter)
      case 'held': return this._options.waitsForCredit ? this._wait(account, cost) : this._refused(spending.retryAfter)
      case 'short': {
        const admission = this._wait(account, cost)
        this._report()
        return admission
      }
      default: return assertNever(spending)
    }
  }

  private _wait (account: string, cost: number): Promise<Admission> {
    return new Promise(resolve => {
      // A report can be under way for longer, from an entry that is cut off.
      const cancel = this._options.clock.after(longestWait, () => {
        this._waiting = this._waiting.filter(other => other !== waiter)
        resolve(this._refused(leastRetryAfter))
      })
      const waiter: Waiter = {
        account,
        cost,
        decide: admission => {
          cancel()
          resolve(admission)
        }
      }
      this._waiting.push(waiter)
    })
  }

  private _admitted (pool: UsagePool, cost: number): Admission {
    let isOpen = true
    return {
      kind: 'admitted',
      refund: () => {
        if (isOpen) pool.refund(cost)
        isOpen = false
      }
    }
  }

  /** Spread, so that callers who were refused together don't come back together. */
  private _refused (wait: Ms): Admission { return { kind: 'over-limit', retryAfter: Math.max(leastRetryAfter, wait) * (1 + Math.random() * retrySpread) } }

  private get _instant (): Instant { return instantOf(this._options.clock) }

  private _pool (account: string): UsagePool {
    const known = this._pools.get(account)
    if (known !== undefined) return known
    const pool = new UsagePool(this._options.startedAt)
    this._pools.set(account, pool)
    return pool
  }

  private _schedule (): void {
    this._cancel = this._options.clock.after(reportEvery, () => {
      if (this._stopped) return
      if (this._options.isNeeded()) this._report()
      this._schedule()
    })
  }

  private _reportSoon (): void {
    if (this._options.clock.now() - this._reportedAt >= reportPause) this._report()
  }

  private _report (): void {
    if (this._reporting || this._stopped) return
    this._reporting = true
    const sent = this._instant
    const covers = sent.now - this._reportedAt
    this._reportedAt = sent.now
    const waiting = [...this._waiting]
    this._options.report({ entry: this._options.node, covers, rows: this._rows(sent) })
      .catch((error: Error): readonly UsageGrant[] => {
        this._options.log.warn('usage', 'not reported.', { error: error.message })
        return []
      })
      .then(grants => this._take(grants, sent, waiting))
      .finally(() => {
        this._reporting = false
        this._reportAgain()
      })
  }

  private _rows (at: Instant): readonly UsageRow[] {
    return [...this._pools].flatMap(([account, pool]) => {
      const waiters = this._waiting.filter(waiter => waiter.account === account)
      const waiting = waiters.reduce((sum, { cost }) => sum + cost, 0)
      return pool.row(account, waiters[0]?.cost ?? 0, waiting, at) ?? []
    })
  }

  /** Those who came meanwhile are not in the report; those who are held are asked for anew in a while. */
  private _reportAgain (): void {
    const { clock } = this._options
    if (this._waiting.some(({ account }) => this._pool(account).expectedAvailability(clock.now()).kind === 'short')) this._report()
    else if (this._waiting.length > 0 && !this._isDue) {
      this._isDue = true
      clock.after(heldPause, () => {
        this._isDue = false
        if (this._waiting.length > 0) this._report()
      })
    }
  }

  private _take (grants: readonly UsageGrant[], sent: Instant, told: readonly Waiter[]): void {
    const at = this._instant
    for (const grant of grants) this._pool(grant.account).applyGrant(grant, sent, at)
    const answered = new Set(told)
    this._waiting = this._waiting.filter(waiter => !answered.has(waiter) || !this._decide(waiter, at))
  }

  /** @returns false when it is to wait on */
  private _decide ({ account, cost, decide }: Waiter, at: Instant): boolean {
    const pool = this._pool(account)
    const spending = pool.spend(cost, at)
    switch (spending.kind) {
      case 'spent':
        decide(this._admitted(pool, cost))
        return true
      case 'held':
        if (this._options.waitsForCredit) return false
        decide(this._refused(spending.retryAfter))
        return true
      case 'closed':
        decide(this._refused(spending.retryAfter))
        return true
      case 'short': return false
      default: return assertNever(spending)
    }
  }
}
