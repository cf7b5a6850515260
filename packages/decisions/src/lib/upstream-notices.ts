/**
 * What an upstream reports in its notices: its request limit, whether it leaves, and its backoff.
 */
import type { Ms } from '@hazelford/core'
import type { UpstreamNotice } from '@hazelford/ports'

/** An upstream's notice of its request limit. */
export interface LimitNotice {
  /** Requests per second of all entries together; undefined for no limit. */
  readonly rate: number | undefined
  /** Time as of which the limit is known to apply. */
  readonly at: Ms
  /** Whether the upstream has ever reported a limit. */
  readonly everNamed: boolean
}

/** A change by an answer's notice. `rest`: the upstream asks this entry to back off for `lasts` ms. */
export type NoticeChange =
  | { readonly kind: 'limit', readonly rate: number | undefined, readonly before: number | undefined }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'rest', readonly lasts: Ms }

/** Notices of one incarnation of an upstream. */
export class UpstreamNotices {
  private _limit: LimitNotice = { rate: undefined, at: -Infinity, everNamed: false }
  private _leaving = false
  private _backoffUntil: Ms = -Infinity

  /** The latest notice of its limit. */
  get limit (): LimitNotice { return this._limit }

  /** Whether it has reported that it leaves; this is never withdrawn. */
  get leaving (): boolean { return this._leaving }

  /** Time until which it has asked this entry to back off. */
  get backoffUntil (): Ms { return this._backoffUntil }

  /**
   * Applies the notice of an answer.
   *
   * @param notice - the notice in the answer
   * @param sentAt - when the request of the answer was sent
   * @param now - time
   * @returns what it changes
   */
  applyNotice ({ rateLimit, leaving, backoff: backoffTime }: UpstreamNotice, sentAt: Ms, now: Ms): readonly NoticeChange[] {
    const changes: NoticeChange[] = []
    // An answer without a limit may have been sent before the upstream reported its limit. So the absence of a limit is
    // known only as of the time at which the request was sent.
    const limit = this.recordLimit({ rate: rateLimit, at: rateLimit === undefined ? sentAt : now })
    if (limit !== undefined) changes.push(limit)
    if (leaving && this.recordLeaving()) changes.push({ kind: 'leaving' })
    if (backoffTime !== undefined && now + backoffTime > this._backoffUntil) {
      this._backoffUntil = now + backoffTime
      changes.push({ kind: 'rest', lasts: backoffTime })
    }
    return changes
  }

  /** @returns whether this was not known before */
  recordLeaving (): boolean {
    const isNew = !this._leaving
    this._leaving = true
    return isNew
  }

  /**
   * Applies a notice of its limit, unless a newer one is known.
   *
   * @returns the change, if any
   */
  recordLimit ({ rate, at }: Omit<LimitNotice, 'everNamed'>): NoticeChange & { readonly kind: 'limit' } | undefined {
    if (at <= this._limit.at) return undefined
    const before = this._limit.rate
    this._limit = { rate, at, everNamed: this._limit.everNamed || rate !== undefined }
    return rate === before ? undefined : { kind: 'limit', rate, before }
  }
}
