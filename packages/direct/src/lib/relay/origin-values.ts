/**
 * Values with which entries keep the origins of streams in the store.
 */
import type { Ms } from '@hazelford/core'
import { isNonNegativeNumber } from '../non-negative-number.js'
import { systemKeyPrefix } from '../peers/peer-table.js'
import type { OriginRow } from './origin-messages.js'

/** Prefix of the keys of origins. */
export const originsPrefix = `${systemKeyPrefix}origins/`

/** Streams that began at one version of a service. */
interface OriginGroup {
  readonly service: string
  readonly software: string
  /** Ms in which the callers can come back. */
  readonly lasts: Ms
  readonly requests: readonly string[]
}

/** Prefix of the keys of one process of an entry: a process that starts again does not overwrite the keys of the one before. */
export function ownOriginsPrefix (node: string, incarnation: string): string { return `${originsPrefix}${node}/${incarnation}-` }

/** Writes origins; the streams of one version are kept for as long as the last of their callers can come back. */
export function encodeOrigins (rows: readonly OriginRow[]): string {
  const groups = new Map<string, OriginRow[]>()
  for (const row of rows) {
    const key = JSON.stringify([row.service, row.software])
    const group = groups.get(key) ?? []
    groups.set(key, group)
    group.push(row)
  }
  const origins = [...groups.values()].map((group): OriginGroup => ({
    service: group[0]!.service,
    software: group[0]!.software,
    lasts: Math.max(...group.map(({ lasts }) => lasts)),
    requests: group.map(({ request }) => request)
  }))
  return JSON.stringify({ origins })
}

function isGroup (value: unknown): value is OriginGroup {
  const { service, software, lasts, requests } = (value ?? {}) as Record<string, unknown>
  return typeof service === 'string' && typeof software === 'string' && isNonNegativeNumber(lasts) &&
    Array.isArray(requests) && requests.every(request => typeof request === 'string')
}

/** Reads origins; undefined when the value is malformed. */
export function decodeOrigins (value: string): readonly OriginRow[] | undefined {
  try {
    const { origins } = (JSON.parse(value) ?? {}) as Record<string, unknown>
    if (!Array.isArray(origins) || !origins.every(isGroup)) return undefined
    return origins.flatMap(({ service, software, lasts, requests }) => requests.map((request): OriginRow => ({ request, service, software, lasts })))
  } catch {
    // Not JSON: not written by this version of the program.
    return undefined
  }
}
