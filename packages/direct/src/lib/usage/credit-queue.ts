/**
 * Queues requests that wait for credit of the accounts of one allocator.
 */
import { assertNever, type CancelTimer, type Clock, type Instant, instantOf, type Log, type Ms } from '@hazelford/core'
import { type UsageGrant, UsagePool, type UsageReport, type UsageRow } from '@hazelford/decisions'
import type { UsageSummary } from './usage-summary.js'

/** Whether a request's usage is within its account's limit. */
export type Admission =
  /** `refund` returns the usage, once, when the request has not run. */
  | { readonly kind: 'admitted', readonly refund: () => void }
  | { readonly kind: 'over-limit', readonly retryAfter: Ms }

/** What a queue needs. */
export interface CreditQueueOptions {
  readonly clock: Clock
  readonly log: Log
  /** Name of the entry. */
  readonly node: string
  /** When this process started; it has reported to no allocator before. */
  readonly startedAt: Ms
  /** Whether to report at regular intervals, that is, while any account has a limit and for a while after. */
  readonly isNeeded: () => boolean
  /** Whether requests wait for credit that is expected soon; else they are refused once the allocator has none. */
  readonly waitsForCredit: boolean
  readonly summary: Pick<UsageSummary, 'add'>
  /** Reports to the allocator; rejects only on an error within this entry. */
  readonly report: (report: UsageReport) => Promise<readonly UsageGrant[]>
}

interface Waiter {
  readonly account: string
  readonly cost: number
  readonly urgency: number
  readonly decide: (admission: Admission) => void
}

/**
 * Interval of reports. An allocator counts an entry only while it receives reports of it, and the entry's share of all
 * rates depends on that.
 */
const reportEvery: Ms = 400
/** Least time between two reports that are sent because credit is low, while no request waits. */
const reportPause: Ms = 100
/** Pause before waiting requests are reported again to an allocator that had no credit for them. */
const noCreditPause: Ms = 100
/** Longest time that a request waits for credit; an allocator that expects a longer wait answers so at once. */
const longestWait: Ms = 1_000
/** Shortest time after which a refused caller is asked to return. */
const minRetryAfter: Ms = 100
/**
 * Spread of the times at which refused callers are asked to return, as a share of the wait, so that they don't return
 * together.
 */
const retrySpread = 0.5

/** Credit of some accounts at one entry. At most one report is in progress at a time. */
export class CreditQueue {
  private readonly _pools = new Map<string, UsagePool>()
  private _waiting: Waiter[] = []
  private _reporting = false
  /** Whether a further report for the waiting requests is scheduled. */
  private _isReportScheduled = false
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

  /** Admits all requests that wait for accounts without a limit. */
  release (isFree: (account: string) => boolean): void {
    const free = this._waiting.filter(({ account }) => isFree(account))
    this._waiting = this._waiting.filter(({ account }) => !isFree(account))
    for (const account of [...this._pools.keys()]) if (isFree(account)) this._pools.delete(account)
    for (const { decide } of free) decide({ kind: 'admitted', refund: () => {} })
  }

  /**
   * Takes a request's usage from an account's credit; synchronous unless the request has to wait for credit.
   *
   * @param patience - ms that the request may wait
   * @param urgency - priority; 0 is the most urgent. More urgent requests of an account get its credit first.
   */
  admit (account: string, cost: number, patience: Ms = longestWait, urgency = 0): Admission | Promise<Admission> {
    const at = this._instant
    const pool = this._pool(account)
    pool.count(cost, at.now)
    const isFirst = !this._waiting.some(waiter => waiter.account === account && waiter.urgency <= urgency)
    const spending = isFirst ? pool.spend(cost, at) : pool.expectedAvailability(at.now)
    switch (spending.kind) {
      case 'spent':
        if (pool.isLow(at)) this._reportSoon()
        return this._admitted(account, cost)
      case 'closed': return this._refused(account, cost, spending.retryAfter)
      case 'held': return this._options.waitsForCredit ? this._wait(account, cost, patience, urgency) : this._refused(account, cost, spending.retryAfter)
      case 'short': {
        const admission = this._wait(account, cost, patience, urgency)
        this._report()
        return admission
      }
      default: return assertNever(spending)
    }
  }

  private _wait (account: string, cost: number, patience: Ms, urgency: number): Promise<Admission> {
    return new Promise(resolve => {
      // The answer may come later than this: an entry that is cut off from its peers tries several of them in turn.
      const cancel = this._options.clock.after(Math.min(longestWait, patience), () => {
        this._waiting = this._waiting.filter(other => other !== waiter)
        resolve(this._refused(account, cost, minRetryAfter))
      })
      const waiter: Waiter = {
        account,
        cost,
        urgency,
        decide: admission => {
          cancel()
          resolve(admission)
        }
      }
      this._enqueue(waiter)
    })
  }

  private _enqueue (waiter: Waiter): void {
    const behind = this._waiting.findIndex(({ account, urgency }) => account === waiter.account && urgency > waiter.urgency)
    this._waiting.splice(behind < 0 ? this._waiting.length : behind, 0, waiter)
  }

  private _admitted (account: string, cost: number): Admission {
    const pool = this._pool(account)
    let isOpen = true
    this._options.summary.add(account, 'admitted', cost)
    return {
      kind: 'admitted',
      refund: () => {
        if (!isOpen) return
        isOpen = false
        pool.refund(cost)
        this._options.summary.add(account, 'admitted', -cost)
      }
    }
  }

  private _refused (account: string, cost: number, wait: Ms): Admission {
    this._options.summary.add(account, 'refused', cost)
    return { kind: 'over-limit', retryAfter: Math.max(minRetryAfter, wait) * (1 + Math.random() * retrySpread) }
  }

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
      .then(grants => this._applyGrants(grants, sent, waiting))
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

  /**
   * Requests that arrived after the report was sent are not in it and are reported at once; those for which the
   * allocator had no credit are reported again after a pause.
   */
  private _reportAgain (): void {
    const { clock } = this._options
    if (this._waiting.some(({ account }) => this._pool(account).expectedAvailability(clock.now()).kind === 'short')) this._report()
    else if (this._waiting.length > 0 && !this._isReportScheduled) {
      this._isReportScheduled = true
      clock.after(noCreditPause, () => {
        this._isReportScheduled = false
        if (this._waiting.length > 0) this._report()
      })
    }
  }

  private _applyGrants (grants: readonly UsageGrant[], sent: Instant, reported: readonly Waiter[]): void {
    const at = this._instant
    for (const grant of grants) {
      this._pool(grant.account).applyGrant(grant, sent, at)
      this._options.summary.add(grant.account, 'granted', grant.granted)
    }
    const answered = new Set(reported)
    this._waiting = this._waiting.filter(waiter => !answered.has(waiter) || !this._decide(waiter, at))
  }

  /**
   * Admits or refuses a request by its account's credit.
   *
   * @returns false when the request keeps waiting
   */
  private _decide ({ account, cost, decide }: Waiter, at: Instant): boolean {
    const pool = this._pool(account)
    const spending = pool.spend(cost, at)
    switch (spending.kind) {
      case 'spent':
        decide(this._admitted(account, cost))
        return true
      case 'held':
        if (this._options.waitsForCredit) return false
        decide(this._refused(account, cost, spending.retryAfter))
        return true
      case 'closed':
        decide(this._refused(account, cost, spending.retryAfter))
        return true
      case 'short': return false
      default: return assertNever(spending)
    }
  }
}
