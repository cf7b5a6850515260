/**
 * What organisations use of their limits.
 */
import type { CreditLimit, UsageGrant, UsageRow } from '@hazelford/decisions'
import type { Organisation, UsageLimit } from '@hazelford/ports'

/** Limits by organisation, of those that have one. */
export function usageLimits (organisations: readonly Organisation[]): ReadonlyMap<string, CreditLimit> {
  return new Map(organisations.flatMap(({ name, limit }) => limit === undefined ? [] : [[name, limit]]))
}

/**
 * What a request uses, in the limit's unit.
 *
 * @param tokens - that it names; undefined when it names none
 */
export function usageOf (limit: UsageLimit, tokens: number | undefined): number {
  return limit.unit === 'requests' ? 1 : tokens ?? limit.plainTokens
}

/**
 * Lets in what a keeper says nothing of. It has another configuration, in which these organisations have no limit: it hears of
 * theirs, or this entry of their end, within the time in which a change is in force.
 */
export function grantInFull ({ waiting, ahead }: UsageRow): Omit<UsageGrant, 'account'> {
  return { granted: waiting + ahead, wait: 0 }
}
