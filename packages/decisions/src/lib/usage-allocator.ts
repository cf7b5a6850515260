/**
 * Allocates an account's usage to the entries that ask for it.
 */
import type { Ms } from '@hazelford/core'
import type { UsageLimit } from '@hazelford/ports'

/** Limit on the usage of an account: units per second, and units that may be used at once in addition. */
export type CreditLimit = Pick<UsageLimit, 'rate' | 'burst'>

/** An entry's report on one account. Amounts are in the limit's unit. */
export interface UsageRow {
  readonly account: string
  /** Credit that the entry was granted and has not used. */
  readonly holding: number
  /** What the first waiting request there needs beyond the entry's credit; 0 when none waits. */
  readonly first: number
  /** What all waiting requests there need beyond the entry's credit. */
  readonly waiting: number
  /** What the entry asks for ahead of need, for the requests that it expects until its next report. */
  readonly ahead: number
  /** Credit that the entry returns; `holding` excludes it. */
  readonly returned: number
}

/** An entry's report on the accounts whose requests it receives. */
export interface UsageReport {
  readonly entry: string
  /** Ms since its last report to any allocator, or since its process started. */
  readonly covers: Ms
  /** Number of entries that it knows of, itself included; undefined in a report of an older version. */
  readonly entries?: number
  /**
   * Number of other allocators that it has reported to within {@link reportTtl}: they may still keep credit of its part.
   * Undefined in a report of an older version.
   */
  readonly others?: number
  readonly rows: readonly UsageRow[]
}

/** What an allocator grants to an entry. */
export interface UsageGrant {
  readonly account: string
  readonly granted: number
  /** Ms until all requests that wait at any entry could be granted what they need; 0 when those of this entry were. */
  readonly wait: Ms
}

/** How far the usage within a window may exceed a limit. */
export interface UsageBounds {
  readonly window: Ms
  /** Share of the window's usage by which the limit may be exceeded. */
  readonly overage: number
  /** Units by which the limit may be exceeded in addition, in the limit's unit. */
  readonly slack: number
}

/** What an allocator needs besides the report. */
export interface AllocatorContext {
  readonly bounds: UsageBounds
  readonly now: Ms
  /** Number of listed entries. */
  readonly entries: number
  /** Undefined for an account without a limit. */
  readonly limitOf: (account: string) => CreditLimit | undefined
}

/**
 * Age at which an entry's report expires. The entry may report to another allocator by then, and its credit has
 * expired.
 */
export const reportTtl: Ms = 1_500
/**
 * Longest time that one report covers. All entries may report again at the same time, after none of them could; the
 * credit that has accrued meanwhile is then used at once.
 */
const maxCoveredTime: Ms = 600
/** Shares of the allowed overage and slack that one allocator grants at once. */
const overageAtOnce = 0.45
const slackAtOnce = 0.7
/**
 * Share of the overage that is spread over the window, so that an account that exceeds its limit can use all of the
 * limit, not a little less.
 */
const overageSpread = 0.25
/** Shares of the overage and slack that allocators may keep of entries that have lately reported to other ones too. */
const overageElsewhere = 1 - overageAtOnce - overageSpread
const slackElsewhere = 1 - slackAtOnce
/** Least share of a limit's burst that can be used at once. */
const minBurstShare = 0.5
/** Age up to which the waiting requests in an entry's report are counted: each entry has reported again by then. */
const waitingReportTtl: Ms = 500
/**
 * Share of a bucket that is granted only to waiting requests. Granted ahead of need, it would lie unused at some
 * entries while others refuse requests.
 */
const reservedShare = 0.5
/** Factor on an entry's proportional share, so that a bucket that refills is not left half full. */
const levelShareFactor = 1.5

/** An entry that has reported lately. */
interface Reporter { readonly at: Ms, readonly entries: number, readonly others: number }

interface EntryReport { readonly holding: number, readonly waiting: number, readonly at: Ms }

/** Credit of one account that can be granted. */
class Bucket {
  private readonly _reports = new Map<string, EntryReport>()
  private _level = 0
  private _cap = 0
  /** Covered time at the last refill, see {@link UsageAllocator}. */
  private _covered: Ms = 0

  /**
   * Adds the credit that has accrued, up to a cap that includes the credit that entries were granted and have not used:
   * they could use it in one moment together with the credit in this bucket.
   *
   * @param covered - time that reports have covered
   * @param least - what one request needs: a request larger than the cap would never be admitted
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

  /** Grants credit for waiting requests first, then credit ahead of need. */
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
   * Credit for an entry's waiting requests. While the bucket covers the waiting requests of all entries, each entry gets
   * what it needs. Otherwise each entry gets its share, and no less than its first request needs: in smaller pieces,
   * credit would lie unused at each entry while none can admit a request.
   */
  private _forWaiting ({ first, waiting }: UsageRow, now: Ms): number {
    const all = this._waiting(now)
    if (this._level >= all) return waiting
    if (first > this._level) return 0
    // Fractions of a unit would lie unused at each entry, and credit at the entries takes room in the bucket.
    return Math.floor(Math.min(waiting, this._level, Math.max(first, levelShareFactor * this._level * waiting / all)))
  }
}

/** How an account's limit is granted. */
interface GrantTerms {
  readonly rate: number
  /** Most that an allocator keeps when all entries report to it alone. */
  readonly most: number
  /** Most that all allocators together keep in addition, of entries that have lately reported to several of them. */
  readonly mostElsewhere: number
}

/**
 * Rate at which a limit is granted, and the most that is granted at once. The usage allowed in a window is the rate over
 * the window and both amounts.
 *
 * The usage allowed in a window is the rate over all of it, and the burst. Granted at once, the burst is used up in a
 * moment; an account that then continually uses a little more than the rate is refused although the window's sum allows
 * it. So the burst is spread over the window, as far as the allowed overage is large enough to replace it.
 */
function grantTerms ({ rate, burst }: CreditLimit, { window, overage, slack }: UsageBounds): GrantTerms {
  const over = overage * (rate * window / 1_000 + burst)
  const allowed = over * overageAtOnce + slack * slackAtOnce
  const ofBurst = Math.max(0, burst * minBurstShare - allowed)
  return {
    rate: rate + (burst - ofBurst + over * overageSpread) / window * 1_000,
    most: ofBurst + allowed,
    mostElsewhere: over * overageElsewhere + slack * slackElsewhere
  }
}

/**
 * Most that an allocator would keep if all entries reported to it as this one does. An allocator that an entry reports to
 * alone keeps everything; of several, each further one keeps half as much as the one before, and together they keep no
 * more than `mostElsewhere` in addition.
 *
 * @param others - number of other allocators that the entry has reported to lately
 */
function mostKept ({ most, mostElsewhere }: GrantTerms, others: number): number {
  return others === 0 ? most : mostElsewhere / 2 ** others
}

/**
 * Allocates the usage of accounts to the entries that report to it.
 *
 * Each limit applies to all entries together, and no entry sees all requests. One allocator grants credit ahead of
 * need, so that an entry decides alone, without a message per request. Entries that can't reach the allocator ask the
 * next one in a sequence that all share, and finally themselves, so several allocators may grant at a time without
 * knowing of each other. Each report brings its allocator the entry's part of the rate, for the time since that entry's
 * last report. Whichever allocator an entry reports to, each part is granted once. What an allocator keeps is bounded by
 * the parts of the entries that report to it; the part of an entry that has just come from another allocator counts
 * little, since that one may still keep credit for it. An allocator starts with empty buckets, since the previous one
 * may have granted everything a moment ago.
 */
export class UsageAllocator {
  private readonly _reporters = new Map<string, Reporter>()
  private readonly _buckets = new Map<string, Bucket>()
  /** Time for which entries have brought their parts of all rates. */
  private _covered: Ms = 0

  /** Number of entries that have reported lately. */
  get reporters (): number { return this._reporters.size }

  /** Applies an entry's report and grants it the credit that is available. */
  report (report: UsageReport, context: AllocatorContext): readonly UsageGrant[] {
    const { entry, covers, rows } = report
    this._recordReport(report, context.now)
    const entries = this._countEntries(context.entries)
    const share = this._reporters.size / entries
    this._covered += Math.min(covers, maxCoveredTime) / entries
    return rows.flatMap(row => {
      const limit = context.limitOf(row.account)
      if (limit === undefined) return []
      const bucket = this._bucket(row.account)
      const terms = grantTerms(limit, context.bounds)
      bucket.refill(terms.rate, this._cap(terms, entries), row.first, this._covered, context.now)
      return [{ account: row.account, ...bucket.grant(entry, row, terms.rate * share, context.now) }]
    })
  }

  /** Deletes accounts that have no limit any more. */
  forget (isFree: (account: string) => boolean): void {
    for (const account of [...this._buckets.keys()]) if (isFree(account)) this._buckets.delete(account)
  }

  private _recordReport ({ entry, entries = 0, others = 0 }: UsageReport, now: Ms): void {
    for (const [other, { at }] of this._reporters) if (now - at >= reportTtl) this._reporters.delete(other)
    if (this._reporters.size === 0) {
      this._buckets.clear()
      this._covered = 0
    }
    this._reporters.set(entry, { at: now, entries, others })
  }

  /** Number of entries that share each limit. An entry that has just started may not know all of them itself. */
  private _countEntries (known: number): number {
    return Math.max(1, known, this._reporters.size, ...[...this._reporters.values()].map(({ entries }) => entries))
  }

  /** Most that may be kept here, granted credit included. */
  private _cap (terms: GrantTerms, entries: number): number {
    let sum = 0
    for (const { others } of this._reporters.values()) sum += mostKept(terms, others)
    return sum / entries
  }

  private _bucket (account: string): Bucket {
    const known = this._buckets.get(account)
    if (known !== undefined) return known
    const bucket = new Bucket()
    this._buckets.set(account, bucket)
    return bucket
  }
}
