/**
 * Reads what entries tell each other of usage.
 */
import type { UsageGrant, UsageRow } from '@hazelford/decisions'
import { isNonNegativeNumber } from './non-negative-number.js'
import type { UsageMessage } from './usage-coordinator.js'

function isRow (value: unknown): value is UsageRow {
  const { account, holding, first, waiting, ahead, returned } = (value ?? {}) as Record<string, unknown>
  return typeof account === 'string' && [holding, first, waiting, ahead, returned].every(isNonNegativeNumber)
}

function isGrant (value: unknown): value is UsageGrant {
  const { account, granted, wait } = (value ?? {}) as Record<string, unknown>
  return typeof account === 'string' && isNonNegativeNumber(granted) && isNonNegativeNumber(wait)
}

/**
 * Reads a report.
 *
 * A number that is none, taken into a bucket, would make every sum there none too, and each comparison with it false.
 *
 * @param value - decoded JSON
 * @returns undefined when it is no report
 */
export function readUsageMessage (value: unknown): UsageMessage | undefined {
  const { shard, entry, covers, rows } = (value ?? {}) as Record<string, unknown>
  if (!isNonNegativeNumber(shard) || !isNonNegativeNumber(covers) || typeof entry !== 'string' || !Array.isArray(rows) || !rows.every(isRow)) return undefined
  return { shard, entry, covers, rows }
}

/** Reads a keeper's answer; undefined when it is none. */
export function readUsageGrants (value: unknown): readonly UsageGrant[] | undefined {
  const { grants } = (value ?? {}) as Record<string, unknown>
  return Array.isArray(grants) && grants.every(isGrant) ? grants : undefined
}
