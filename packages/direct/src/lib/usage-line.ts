/**
 * Requests that wait for credit of the organisations that one keeper counts.
 */
import { type CancelTimer, type Clock, type Instant, instantOf, type Log, type Ms } from '@hazelford/core'
import { type UsageGrant, UsagePool, type UsageReport, type UsageRow } from '@hazelford/decisions'

/** Whether a request's usage is within its organisation's limit. */
export type Admission =
  /** `refund` gives the usage back, once, when the request has not run. */
  | { readonly kind: 'admitted', readonly refund: () => void }
  | { readonly kind: 'over-limit', readonly retryAfter: Ms }

/** What a line needs. */
export interface UsageLineOptions {
  readonly clock: Clock
  readonly log: Log
  /** Name of the entry. */
  readonly node: string
  /** Reports to whoever counts; rejects for a fault of this entry only. */
  readonly report: (report: UsageReport) => Promise<readonly UsageGrant[]>
}

interface Waiter {
  readonly organisation: string
  readonly cost: number
  readonly resolve: (admission: Admission) => void
}

/** A keeper counts an entry for as long as it hears it; the entry's part of all rates hangs on that. */
const reportEvery: Ms = 400
/** Least time between two reports that nobody waits for. */
const reportPause: Ms = 100
/** Shortest time after which a refused caller may return. */
const leastRetryAfter: Ms = 100
/** Spread of the times at which refused callers may return, as a part of the wait. */
const retrySpread = 0.5

/** Credit of some organisations at one entry. One report is under way at a time. */
export class UsageLine {
  private readonly _pools = new Map<string, UsagePool>()
  private _waiting: Waiter[] = []
  private _reporting = false
  private _reportedAt: Ms | undefined
  private _stopped = false
  private _cancel: CancelTimer = () => {}

  constructor (private readonly _options: UsageLineOptions) {
    this._schedule()
  }

  stop (): void {
    this._stopped = true
    this._cancel()
  }

  /** Takes a request's usage. */
  admit (organisation: string, cost: number): Admission | Promise<Admission> {
    const at = this._instant
    const pool = this._pool(organisation)
    pool.count(cost, at.now)
    const isFirst = !this._waiting.some(waiter => waiter.organisation === organisation)
    const spending = isFirst ? pool.spend(cost, at) : { kind: 'short' } as const
    switch (spending.kind) {
      case 'spent':
        if (pool.isLow(at)) this._reportSoon()
        return this._admitted(pool, cost)
      case 'closed': return this._refused(spending.retryAfter)
      case 'short': return new Promise(resolve => {
        this._waiting.push({ organisation, cost, resolve })
        this._report()
      })
    }
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
  private _refused (wait: Ms): Admission { return { kind: 'over-limit', retryAfter: wait * (1 + Math.random() * retrySpread) } }

  private get _instant (): Instant { return instantOf(this._options.clock) }

  private _pool (organisation: string): UsagePool {
    const known = this._pools.get(organisation)
    if (known !== undefined) return known
    const pool = new UsagePool()
    this._pools.set(organisation, pool)
    return pool
  }

  private _schedule (): void {
    this._cancel = this._options.clock.after(reportEvery, () => {
      if (this._stopped) return
      this._report()
      this._schedule()
    })
  }

  private _reportSoon (): void {
    if (this._options.clock.now() - (this._reportedAt ?? -Infinity) >= reportPause) this._report()
  }

  private _report (): void {
    if (this._reporting || this._stopped) return
    this._reporting = true
    const sent = this._instant
    const covers = sent.now - (this._reportedAt ?? sent.now)
    this._reportedAt = sent.now
    const waiting = this._waiting
    this._options.report({ entry: this._options.node, covers, rows: this._rows(sent) })
      .catch((error: Error): readonly UsageGrant[] => {
        this._options.log.warn('usage', 'not reported.', { error: error.message })
        return []
      })
      .then(grants => this._take(grants, sent, waiting))
      .finally(() => {
        this._reporting = false
        // Those who came meanwhile are not in the report.
        if (this._waiting.length > 0) this._report()
      })
  }

  private _rows (at: Instant): readonly UsageRow[] {
    return [...this._pools].flatMap(([organisation, pool]) => {
      const waiters = this._waiting.filter(waiter => waiter.organisation === organisation)
      const waiting = waiters.reduce((sum, { cost }) => sum + cost, 0)
      return pool.row(organisation, waiters[0]?.cost ?? 0, waiting, at) ?? []
    })
  }

  private _take (grants: readonly UsageGrant[], sent: Instant, told: readonly Waiter[]): void {
    const at = this._instant
    for (const grant of grants) this._pool(grant.organisation).take(grant, sent, at)
    const waits = new Map(grants.map(({ organisation, wait }) => [organisation, wait]))
    const answered = new Set(told)
    this._waiting = this._waiting.filter(waiter => !answered.has(waiter))
    for (const { organisation, cost, resolve } of told) {
      const pool = this._pool(organisation)
      if (pool.spend(cost, at).kind === 'spent') resolve(this._admitted(pool, cost))
      else resolve(this._refused(Math.max(leastRetryAfter, waits.get(organisation) ?? 0)))
    }
  }
}
