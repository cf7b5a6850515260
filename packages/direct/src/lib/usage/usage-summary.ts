/**
 * Logs what was admitted, refused and granted for accounts at their limit.
 */
import type { CancelTimer, Clock, Log, Ms } from '@hazelford/core'

/**
 * What happened to units of an account: requests `admitted` or `refused`, credit `granted` by the allocator, or
 * `assumed` for a row that its answer left out, and credit `allocated` by this entry to any entry.
 */
export type UsageEvent = 'admitted' | 'refused' | 'granted' | 'assumed' | 'allocated'

/** What the summary needs of the coordinator. */
export interface UsageSummaryOptions {
  readonly kind: string
  readonly clock: Clock
  readonly log: Log
  /** Called with each change. */
  readonly recorded?: (account: string, event: UsageEvent, units: number) => void
}

type AccountSums = Record<UsageEvent, number>

const summaryEvery: Ms = 1_000
/** Largest number of lines at a time; the accounts with the most units refused or assumed are logged. */
const maxLines = 8

function unitsBeyondLimit ({ refused, assumed }: AccountSums): number { return refused + assumed }

/** Sums of units by account and event, logged at regular intervals for accounts at their limit. */
export class UsageSummary {
  private _accounts = new Map<string, AccountSums>()
  private _cancel: CancelTimer = () => {}
  private _isScheduled = false

  constructor (private readonly _options: UsageSummaryOptions) {}

  stop (): void { this._cancel() }

  add (account: string, event: UsageEvent, units: number): void {
    if (units === 0) return
    this._options.recorded?.(account, event, units)
    const sums = this._accounts.get(account) ?? { admitted: 0, refused: 0, granted: 0, assumed: 0, allocated: 0 }
    sums[event] += units
    this._accounts.set(account, sums)
    this._schedule()
  }

  private _schedule (): void {
    if (this._isScheduled) return
    this._isScheduled = true
    this._cancel = this._options.clock.after(summaryEvery, () => {
      this._isScheduled = false
      this._flush()
    })
  }

  private _flush (): void {
    const { kind, log } = this._options
    const atLimit = [...this._accounts].filter(([, sums]) => unitsBeyondLimit(sums) > 0)
    const logged = atLimit.sort(([, a], [, b]) => unitsBeyondLimit(b) - unitsBeyondLimit(a)).slice(0, maxLines)
    for (const [account, sums] of logged) log.info('usage', 'account at its limit.', { kind, account, ...sums, others: atLimit.length - logged.length })
    this._accounts = new Map()
  }
}
