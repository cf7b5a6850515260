/**
 * Reads the usage messages that entries exchange.
 */
import type { UsageGrant, UsageRow } from '@hazelford/decisions'
import { isNonNegativeNumber } from '../non-negative-number.js'
import type { UsageMessage } from './usage-coordinator.js'

function isRow (value: unknown): value is UsageRow {
  const { account, holding, first, waiting, ahead, returned } = (value ?? {}) as Record<string, unknown>
  return typeof account === 'string' && [holding, first, waiting, ahead, returned].every(isNonNegativeNumber)
}

function isOptionalNumber (value: unknown): value is number | undefined { return value === undefined || isNonNegativeNumber(value) }

function isGrant (value: unknown): value is UsageGrant {
  const { account, granted, wait } = (value ?? {}) as Record<string, unknown>
  return typeof account === 'string' && isNonNegativeNumber(granted) && isNonNegativeNumber(wait)
}

/**
 * Reads a usage report.
 *
 * A value that is not a number, added to a bucket, would turn every sum there into NaN, and each comparison with it
 * into false.
 *
 * @param value - decoded JSON
 * @returns undefined when it is not a usage report
 */
export function readUsageMessage (value: unknown): UsageMessage | undefined {
  const { shard, entry, covers, entries, others, rows } = (value ?? {}) as Record<string, unknown>
  if (!isNonNegativeNumber(shard) || !isNonNegativeNumber(covers) || typeof entry !== 'string' || !Array.isArray(rows) || !rows.every(isRow)) return undefined
  if (!isOptionalNumber(entries) || !isOptionalNumber(others)) return undefined
  return { shard, entry, covers, ...(entries === undefined ? {} : { entries }), ...(others === undefined ? {} : { others }), rows }
}

/** Reads an allocator's answer; undefined when the value is not one. */
export function readUsageGrants (value: unknown): readonly UsageGrant[] | undefined {
  const { grants } = (value ?? {}) as Record<string, unknown>
  return Array.isArray(grants) && grants.every(isGrant) ? grants : undefined
}
