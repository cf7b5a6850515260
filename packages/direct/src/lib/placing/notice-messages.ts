/**
 * Messages with which entries exchange upstreams' notices.
 */
import type { Ms } from '@hazelford/core'
import { isNonNegativeNumber } from '../non-negative-number.js'

/** Latest notice of one upstream, as far as an entry knows. */
export interface NoticeRow {
  readonly upstream: string
  /** Start time of the incarnation that gave it, as in its record. */
  readonly startedAt?: number
  /** Whether the upstream leaves. */
  readonly leaving: boolean
  /** Its request limit; undefined if it has never announced one. */
  readonly limit?: LimitRow
}

/** A notice of a request limit. */
export interface LimitRow {
  /** Requests per second of all entries together; null for no limit. */
  readonly rate: number | null
  /** Ms since the limit was known to be in force. */
  readonly age: Ms
}

/** Notices of some upstreams. */
export interface NoticeMessage { readonly notices: readonly NoticeRow[] }

function isLimit (value: unknown): value is LimitRow {
  const { rate, age } = (value ?? {}) as Record<string, unknown>
  return (rate === null || isNonNegativeNumber(rate)) && isNonNegativeNumber(age)
}

function isRow (value: unknown): value is NoticeRow {
  const { upstream, startedAt, leaving, limit } = (value ?? {}) as Record<string, unknown>
  return typeof upstream === 'string' && (startedAt === undefined || isNonNegativeNumber(startedAt)) && typeof leaving === 'boolean' && (limit === undefined || isLimit(limit))
}

/** Reads notices of upstreams; undefined when the value is malformed. */
export function readNotices (value: unknown): readonly NoticeRow[] | undefined {
  const { notices } = (value ?? {}) as Record<string, unknown>
  return Array.isArray(notices) && notices.every(isRow) ? notices : undefined
}
