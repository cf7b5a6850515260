/**
 * Usage limits of organisations, and the usage of a request.
 */
import type { CreditLimit, UsageGrant, UsageRow } from '@hazelford/decisions'
import type { Organisation, UsageLimit } from '@hazelford/ports'

/** Limits by organisation, of those that have one. */
export function usageLimits (organisations: readonly Organisation[]): ReadonlyMap<string, CreditLimit> {
  return new Map(organisations.flatMap(({ name, limit }) => limit === undefined ? [] : [[name, limit]]))
}

/**
 * Usage of a request, in the limit's unit.
 *
 * @param tokens - number that the request declares; undefined when it declares none
 */
export function usageOf (limit: UsageLimit, tokens: number | undefined): number {
  return limit.unit === 'requests' ? 1 : tokens ?? limit.plainTokens
}

/**
 * Grants all that a row asks for, when the allocator's answer leaves the row out. The allocator has another
 * configuration, in which these organisations have no limit. Within the time in which a change comes into force, it
 * receives their limit, or this entry receives the end of it.
 */
export function grantInFull ({ waiting, ahead }: UsageRow): Omit<UsageGrant, 'account'> {
  return { granted: waiting + ahead, wait: 0 }
}
