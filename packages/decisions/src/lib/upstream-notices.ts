/**
 * What is known of an upstream's own word on the requests that it takes.
 */
import type { Ms } from '@hazelford/core'
import type { UpstreamNotice } from '@hazelford/ports'

/** A word on an upstream's request limit. */
export interface LimitNotice {
  /** Requests a second from all entries together; undefined for none. */
  readonly rate: number | undefined
  /** Since when it is known to hold. */
  readonly at: Ms
  /** Whether the upstream has named a limit at any time. */
  readonly everNamed: boolean
}

/** What changed by an answer. */
export type NoticeChange =
  | { readonly kind: 'limit', readonly rate: number | undefined, readonly before: number | undefined }
  | { readonly kind: 'leaving' }
  | { readonly kind: 'rest', readonly lasts: Ms }

/** Notices of one incarnation of an upstream. */
export class UpstreamNotices {
  private _limit: LimitNotice = { rate: undefined, at: -Infinity, everNamed: false }
  private _leaving = false
  private _backoffUntil: Ms = -Infinity

  /** The latest word on its limit. */
  get limit (): LimitNotice { return this._limit }

  /** Whether it has said that it leaves; nothing takes that back. */
  get leaving (): boolean { return this._leaving }

  /** Until when it wants nothing from this entry. */
  get backoffUntil (): Ms { return this._backoffUntil }

  /**
   * Takes the notice of an answer.
   *
   * @param notice - as the answer says
   * @param sentAt - when the answer was asked for
   * @param now - time
   * @returns what it changes
   */
  note ({ rateLimit, leaving, backoff: rest }: UpstreamNotice, sentAt: Ms, now: Ms): readonly NoticeChange[] {
    const changes: NoticeChange[] = []
    // An answer without a limit may have been on its way since before the limit was named.
    const limit = this.recordLimit({ rate: rateLimit, at: rateLimit === undefined ? sentAt : now })
    if (limit !== undefined) changes.push(limit)
    if (leaving && this.recordLeaving()) changes.push({ kind: 'leaving' })
    if (rest !== undefined && now + rest > this._backoffUntil) {
      this._backoffUntil = now + rest
      changes.push({ kind: 'rest', lasts: rest })
    }
    return changes
  }

  /** @returns whether that is news */
  recordLeaving (): boolean {
    const isNew = !this._leaving
    this._leaving = true
    return isNew
  }

  /**
   * Takes a word on its limit, unless a newer one is known.
   *
   * @returns what it changes, if anything
   */
  recordLimit ({ rate, at }: Omit<LimitNotice, 'everNamed'>): NoticeChange & { readonly kind: 'limit' } | undefined {
    if (at <= this._limit.at) return undefined
    const before = this._limit.rate
    this._limit = { rate, at, everNamed: this._limit.everNamed || rate !== undefined }
    return rate === before ? undefined : { kind: 'limit', rate, before }
  }
}
