/**
 * What entries tell each other of the words of upstreams.
 */
import type { Ms } from '@hazelford/core'
import { isNonNegativeNumber } from './non-negative-number.js'

/** One upstream's latest word, as far as an entry knows. */
export interface NoticeRow {
  readonly upstream: string
  /** Start of the incarnation that said it, as in its record. */
  readonly startedAt?: number
  /** Whether it leaves. */
  readonly leaving: boolean
  /** What it said of a limit; undefined for one that has never named any. */
  readonly limit?: LimitRow
}

/** A word on a request limit. */
export interface LimitRow {
  /** Requests a second from all entries together; null for none. */
  readonly rate: number | null
  /** Ms since which it is known to hold. */
  readonly age: Ms
}

/** Words of some upstreams. */
export interface NoticeMessage { readonly notices: readonly NoticeRow[] }

function isLimit (value: unknown): value is LimitRow {
  const { rate, age } = (value ?? {}) as Record<string, unknown>
  return (rate === null || isNonNegativeNumber(rate)) && isNonNegativeNumber(age)
}

function isRow (value: unknown): value is NoticeRow {
  const { upstream, startedAt, leaving, limit } = (value ?? {}) as Record<string, unknown>
  return typeof upstream === 'string' && (startedAt === undefined || isNonNegativeNumber(startedAt)) && typeof leaving === 'boolean' && (limit === undefined || isLimit(limit))
}

/** Reads words of upstreams; undefined when they are none. */
export function readNotices (value: unknown): readonly NoticeRow[] | undefined {
  const { notices } = (value ?? {}) as Record<string, unknown>
  return Array.isArray(notices) && notices.every(isRow) ? notices : undefined
}
