/**
 * Lends an organisation's usage to the entries that ask for it.
 */
import type { Ms } from '@hazelford/core'
import type { UsageLimit } from '@hazelford/ports'

/** What an entry says of one organisation. Amounts are in the limit's unit. */
export interface UsageRow {
  readonly organisation: string
  /** Lent to it and not used. */
  readonly holding: number
  /** What the first request needs that waits there for credit; 0 when none waits. */
  readonly first: number
  /** What it wants beyond its holding: for those who wait, and for those it expects until it asks again. */
  readonly want: number
  /** What it gives back, which its holding has no more. */
  readonly returned: number
}

/** What an entry says of the organisations whose requests it takes. */
export interface UsageReport {
  readonly entry: string
  /** Ms since its last report, to whichever keeper; 0 for the first one. */
  readonly covers: Ms
  readonly rows: readonly UsageRow[]
}

/** What a keeper lends. */
export interface UsageGrant {
  readonly organisation: string
  readonly granted: number
  /** Ms until the first request that waits can be lent what it needs; 0 when it was. */
  readonly wait: Ms
}

/** How far sums over a window may pass a limit. */
export interface UsageBounds {
  readonly window: Ms
  /** Part of the window's usage by which it may be passed. */
  readonly overage: number
}

/** What a keeper must know besides the report. */
export interface KeeperContext {
  readonly now: Ms
  /** Entries that are listed. */
  readonly entries: number
  /** Undefined where nothing limits an organisation. */
  readonly limitOf: (organisation: string) => UsageLimit | undefined
}

/**
 * Age at which an entry's word counts no more. It may ask another keeper by then, and what it holds has lapsed.
 */
export const wordLasts: Ms = 1_500
/** Longest time that one report covers: after a long silence nobody has used what would have come meanwhile. */
const longestCover: Ms = 1_000
/** Part of the allowed overage that holds what entries were lent ahead; the rest is for what two keepers lend at one moment. */
const overageUsed = 0.5
/** Age up to which an entry's want tells how much is wanted until each has asked again. */
const recentWants: Ms = 500
/** Above an equal part, so that a bucket that refills is not left half full. */
const shareOfLevel = 1.5

interface Word { readonly holding: number, readonly want: number, readonly at: Ms }

/** Credit of one organisation. */
class Bucket {
  private readonly _words = new Map<string, Word>()
  private _level = 0
  /** Time by which it was refilled last, see {@link UsageKeeper}. */
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
  }

  private _outstanding (now: Ms): number {
    let sum = 0
    for (const [entry, { holding, at }] of this._words) {
      if (now - at < wordLasts) sum += holding
      else this._words.delete(entry)
    }
    return sum
  }

  private _wanted (now: Ms): number {
    let sum = 0
    for (const { want, at } of this._words.values()) if (now - at < recentWants) sum += want
    return sum
  }

  /** @returns what is lent, and the wait of the first request that is lent nothing */
  lend (entry: string, { holding, first, want, returned }: UsageRow, rate: number, now: Ms): Omit<UsageGrant, 'organisation'> {
    this._level += returned
    this._words.set(entry, { holding, want, at: now })
    const granted = this._grant(first, want, now)
    this._level -= granted
    this._words.set(entry, { holding: holding + granted, want, at: now })
    const missing = first - granted - this._level
    return { granted, wait: granted >= first ? 0 : Math.max(1, missing / rate * 1_000) }
  }

  /**
   * While there is enough for all, each gets what it wants. When not, only those at which somebody waits get any, and
   * no less than the first request needs: in pieces, credit would lie unused at each entry while none can use it.
   */
  private _grant (first: number, want: number, now: Ms): number {
    const wanted = this._wanted(now)
    if (this._level >= wanted) return want
    if (first === 0 || first > this._level) return 0
    return Math.min(want, Math.max(first, shareOfLevel * this._level * want / wanted), this._level)
  }
}

/**
 * Counts the usage of organisations for the entries that report to it.
 *
 * Each limit holds over all entries, and no entry sees all requests. One keeper lends credit ahead of need; an entry then
 * decides alone, with no message a request. Entries that can't reach the keeper ask the next one in an order that all
 * share, at last themselves. So several may lend at a time, and none can know of the others. Each report brings its keeper
 * one entry's part of the rate, for the time since that entry's last report; whoever an entry reports to, each part is lent
 * once. A keeper begins with empty buckets, since the one before it may have lent everything a moment ago.
 */
export class UsageKeeper {
  /** When each entry was heard. */
  private readonly _heard = new Map<string, Ms>()
  private readonly _buckets = new Map<string, Bucket>()
  /** Time for which entries have brought their parts of all rates. */
  private _covered: Ms = 0

  constructor (private readonly _bounds: UsageBounds) {}

  /** Takes an entry's report and lends it what can be lent. */
  report ({ entry, covers, rows }: UsageReport, context: KeeperContext): readonly UsageGrant[] {
    this._hear(entry, context.now)
    const entries = Math.max(1, context.entries, this._heard.size)
    const share = this._heard.size / entries
    this._covered += Math.min(covers, longestCover) / entries
    return rows.flatMap(row => {
      const limit = context.limitOf(row.organisation)
      if (limit === undefined) return []
      const rate = limit.rate * share
      const bucket = this._bucket(row.organisation)
      bucket.refill(limit.rate, this._cap(limit) * share, row.first, this._covered, context.now)
      return [{ organisation: row.organisation, ...bucket.lend(entry, row, rate, context.now) }]
    })
  }

  /** Most that may be used in one moment. */
  private _cap ({ rate, burst }: UsageLimit): number {
    const { window, overage } = this._bounds
    return burst + overageUsed * overage * (rate * window / 1_000 + burst)
  }

  private _hear (entry: string, now: Ms): void {
    for (const [other, at] of this._heard) if (now - at >= wordLasts) this._heard.delete(other)
    if (this._heard.size === 0) {
      this._buckets.clear()
      this._covered = 0
    }
    this._heard.set(entry, now)
  }

  private _bucket (organisation: string): Bucket {
    const known = this._buckets.get(organisation)
    if (known !== undefined) return known
    const bucket = new Bucket()
    this._buckets.set(organisation, bucket)
    return bucket
  }
}
