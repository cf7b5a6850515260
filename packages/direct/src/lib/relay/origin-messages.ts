/**
 * Messages with which entries exchange the origins of streams.
 */
import type { Ms } from '@hazelford/core'
import { isNonNegativeNumber } from '../non-negative-number.js'
import type { StreamOrigin } from './stream-origins.js'

/** The origin of one stream. */
export interface OriginRow extends StreamOrigin {
  /** Id of the attempt that brought its first event. */
  readonly request: string
  /** Ms in which its caller can come back. */
  readonly lasts: Ms
}

/** Streams that have begun at an entry. */
export interface OriginsMessage { readonly origins: readonly OriginRow[] }

/** Asks where a stream began. */
export interface OriginQuery { readonly request: string }

/** Where a stream began; without `origin`, the entry does not know. */
export interface OriginReply { readonly origin?: StreamOrigin }

function isOrigin (value: unknown): value is StreamOrigin {
  const { service, software } = (value ?? {}) as Record<string, unknown>
  return typeof service === 'string' && typeof software === 'string'
}

function isRow (value: unknown): value is OriginRow {
  const { request, lasts } = (value ?? {}) as Record<string, unknown>
  return typeof request === 'string' && isNonNegativeNumber(lasts) && isOrigin(value)
}

/** Reads origins of streams; undefined when the value is malformed. */
export function readOrigins (value: unknown): readonly OriginRow[] | undefined {
  const { origins } = (value ?? {}) as Record<string, unknown>
  return Array.isArray(origins) && origins.every(isRow) ? origins : undefined
}

/** Reads a query for an origin; undefined when the value is malformed. */
export function readOriginQuery (value: unknown): OriginQuery | undefined {
  const { request } = (value ?? {}) as Record<string, unknown>
  return typeof request === 'string' ? { request } : undefined
}

/** Reads the answer to a query; undefined when it names no origin. */
export function readOriginReply (value: unknown): StreamOrigin | undefined {
  const { origin } = (value ?? {}) as Record<string, unknown>
  return isOrigin(origin) ? { service: origin.service, software: origin.software } : undefined
}
