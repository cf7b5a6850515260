/**
 * Lends an account's usage to the entries that ask for it.
 */
import type { Ms } from '@hazelford/core'
import type { UsageLimit } from '@hazelford/ports'

/** How much of something an account may use: units a second, and units at once on top. */
export type CreditLimit = Pick<UsageLimit, 'rate' | 'burst'>

/** What an entry says of one account. Amounts are in the limit's unit. */
export interface UsageRow {
  readonly account: string
  /** Lent to it and not used. */
  readonly holding: number
  /** What the first request that waits there needs beyond its holding; 0 when none waits. */
  readonly first: number
  /** What all need that wait there, beyond its holding. */
  readonly waiting: number
  /** What it wants on top, for those that it expects until it asks again. */
  readonly ahead: number
  /** What it gives back, which its holding has no more. */
  readonly returned: number
}

/** What an entry says of the accounts whose requests it takes. */
export interface UsageReport {
  readonly entry: string
  /** Ms since its last report, to whichever keeper, or since its process started. */
  readonly covers: Ms
  readonly rows: readonly UsageRow[]
}

/** What a keeper lends. */
export interface UsageGrant {
  readonly account: string
  readonly granted: number
  /** Ms until all who wait anywhere could be lent what they need; 0 when they were here. */
  readonly wait: Ms
}

/** How far sums over a window may pass a limit. */
export interface UsageBounds {
  readonly window: Ms
  /** Part of the window's usage by which it may be passed. */
  readonly overage: number
  /** Units on top, in the limit's unit. */
  readonly slack: number
}

/** What a keeper must know besides the report. */
export interface AllocatorContext {
  readonly bounds: UsageBounds
  readonly now: Ms
  /** Entries that are listed. */
  readonly entries: number
  /** Undefined where nothing limits an account. */
  readonly limitOf: (account: string) => CreditLimit | undefined
}

/**
 * Age at which an entry's word counts no more. It may ask another keeper by then, and what it holds has lapsed.
 */
export const reportTtl: Ms = 1_500
/** Longest time that one report covers: after a long silence nobody has used what would have come meanwhile. */
const maxCoveredTime: Ms = 1_000
/** Parts of the allowed overage and slack that may be used at once; what is left of them is for what two keepers lend at one moment. */
const overageAtOnce = 0.45
const slackAtOnce = 0.7
/** Part of the overage that is spread over the window: an account that floods then uses all of its limit, not a little less. */
const overageSpread = 0.25
/** Part of a limit's burst that can be used at once, at least. */
const minBurstShare = 0.5
/** Age up to which an entry's word tells how much waits until each has asked again. */
const waitingReportTtl: Ms = 500
/** Part of a bucket that is lent to requests that wait only: ahead of need, it would lie unused at some entries while others refuse. */
const reservedShare = 0.5
/** Above an equal part, so that a bucket that refills is not left half full. */
const levelShareFactor = 1.5

interface EntryReport { readonly holding: number, readonly waiting: number, readonly at: Ms }

/** Credit of one account. */
class Bucket {
  private readonly _reports = new Map<string, EntryReport>()
  private _level = 0
  private _cap = 0
  /** Time by which it was refilled last, see {@link UsageAllocator}. */
  private _covered: Ms = 0

  /**
   * Adds what has come since, up to a cap that includes what entries hold: not used yet, it could still be used in one
   * moment with all that is here.
   *
   * @param covered - time that reports have covered
   * @param least - what one request needs: one larger than the cap would never be let in
   */
  refill (rate: number, cap: number, least: number, covered: Ms, now: Ms): void {
    const room = Math.max(least, cap - this._outstanding(now))
    this._level = Math.min(room, this._level + rate * (covered - this._covered) / 1_000)
    this._covered = covered
    this._cap = cap
  }

  private _outstanding (now: Ms): number {
    let sum = 0
    for (const [entry, { holding, at }] of this._reports) {
      if (now - at < reportTtl) sum += holding
      else this._reports.delete(entry)
    }
    return sum
  }

  private _waiting (now: Ms): number {
    let sum = 0
    for (const { waiting, at } of this._reports.values()) if (now - at < waitingReportTtl) sum += waiting
    return sum
  }

  /** Lends what waits first, then what is wanted ahead. */
  grant (entry: string, row: UsageRow, rate: number, now: Ms): Omit<UsageGrant, 'account'> {
    const { holding, waiting, ahead, returned } = row
    this._level += returned
    this._reports.set(entry, { holding, waiting, at: now })
    const forWaiting = this._forWaiting(row, now)
    this._level -= forWaiting
    const forAhead = Math.floor(Math.min(ahead, Math.max(0, this._level - this._cap * reservedShare) / 2))
    this._level -= forAhead
    const granted = forWaiting + forAhead
    this._reports.set(entry, { holding: holding + granted, waiting: waiting - forWaiting, at: now })
    const wait = forWaiting >= waiting ? 0 : Math.max(1, (this._waiting(now) - this._level) / rate * 1_000)
    return { granted, wait }
  }

  /**
   * While there is enough for all who wait, each gets what it needs. When not, each its part, and no less than the first
   * request needs: in pieces, credit would lie unused at each entry while none can use it.
   */
  private _forWaiting ({ first, waiting }: UsageRow, now: Ms): number {
    const all = this._waiting(now)
    if (this._level >= all) return waiting
    if (first > this._level) return 0
    // Parts of a unit would lie unused at each entry, and what entries hold takes room in the bucket.
    return Math.floor(Math.min(waiting, this._level, Math.max(first, levelShareFactor * this._level * waiting / all)))
  }
}

/**
 * How a limit is lent: at what rate, and how much at once.
 *
 * What may be used in a window is the rate for all of it, and the burst. Lent at once, the burst is gone in a moment, and
 * who asks for a little more than the rate all the time is refused though the window's sum allows it. So it is
 * spread over the window, as far as the allowed overage is large enough to stand for it.
 */
function grantTerms ({ rate, burst }: CreditLimit, { window, overage, slack }: UsageBounds): { readonly rate: number, readonly most: number } {
  const over = overage * (rate * window / 1_000 + burst)
  const allowed = over * overageAtOnce + slack * slackAtOnce
  const ofBurst = Math.max(0, burst * minBurstShare - allowed)
  return { rate: rate + (burst - ofBurst + over * overageSpread) / window * 1_000, most: ofBurst + allowed }
}

/**
 * Counts the usage of accounts for the entries that report to it.
 *
 * Each limit holds over all entries, and no entry sees all requests. One keeper lends credit ahead of need; an entry then
 * decides alone, with no message a request. Entries that can't reach the keeper ask the next one in an order that all
 * share, at last themselves. So several may lend at a time, and none can know of the others. Each report brings its keeper
 * one entry's part of the rate, for the time since that entry's last report; whoever an entry reports to, each part is lent
 * once. A keeper begins with empty buckets, since the one before it may have lent everything a moment ago.
 */
export class UsageAllocator {
  /** When each entry was heard. */
  private readonly _reportedAt = new Map<string, Ms>()
  private readonly _buckets = new Map<string, Bucket>()
  /** Time for which entries have brought their parts of all rates. */
  private _covered: Ms = 0

  /** Takes an entry's report and lends it what can be lent. */
  report ({ entry, covers, rows }: UsageReport, context: AllocatorContext): readonly UsageGrant[] {
    this._recordReport(entry, context.now)
    const entries = Math.max(1, context.entries, this._reportedAt.size)
    const share = this._reportedAt.size / entries
    this._covered += Math.min(covers, maxCoveredTime) / entries
    return rows.flatMap(row => {
      const limit = context.limitOf(row.account)
      if (limit === undefined) return []
      const bucket = this._bucket(row.account)
      const { rate, most } = grantTerms(limit, context.bounds)
      bucket.refill(rate, most * share, row.first, this._covered, context.now)
      return [{ account: row.account, ...bucket.grant(entry, row, rate * share, context.now) }]
    })
  }

  /** Forgets accounts that have no limit any more. */
  forget (isFree: (account: string) => boolean): void {
    for (const account of [...this._buckets.keys()]) if (isFree(account)) this._buckets.delete(account)
  }

  private _recordReport (entry: string, now: Ms): void {
    for (const [other, at] of this._reportedAt) if (now - at >= reportTtl) this._reportedAt.delete(other)
    if (this._reportedAt.size === 0) {
      this._buckets.clear()
      this._covered = 0
    }
    this._reportedAt.set(entry, now)
  }

  private _bucket (account: string): Bucket {
    const known = this._buckets.get(account)
    if (known !== undefined) return known
    const bucket = new Bucket()
    this._buckets.set(account, bucket)
    return bucket
  }
}
