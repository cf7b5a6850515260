/**
 * What entries tell each other of the words of upstreams.
 */
import type { Ms } from '@hazelford/core'

/** One upstream's latest word, as far as an entry knows. */
export interface NoticeRow {
  readonly upstream: string
  /** Start of the incarnation that said it, as in its record. */
  readonly startedAt?: number
  /** Requests a second from all entries together; null for no limit. */
  readonly rate: number | null
  /** Ms since which the limit is known to hold. */
  readonly age: Ms
}

/** Words of some upstreams. */
export interface NoticeMessage { readonly notices: readonly NoticeRow[] }

function isAmount (value: unknown): value is number { return typeof value === 'number' && Number.isFinite(value) && value >= 0 }

function isRow (value: unknown): value is NoticeRow {
  const { upstream, startedAt, rate, age } = (value ?? {}) as Record<string, unknown>
  return typeof upstream === 'string' && (startedAt === undefined || isAmount(startedAt)) && (rate === null || isAmount(rate)) && isAmount(age)
}

/** Reads words of upstreams; undefined when they are none. */
export function readNotices (value: unknown): readonly NoticeRow[] | undefined {
  const { notices } = (value ?? {}) as Record<string, unknown>
  return Array.isArray(notices) && notices.every(isRow) ? notices : undefined
}
