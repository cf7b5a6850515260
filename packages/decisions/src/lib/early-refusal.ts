/**
 * Refusal of requests whose turn can't come in their time.
 */
import type { Ms } from '@hazelford/core'

/**
 * Factor by which each predicted wait must exceed the time that a request has left. Predictions err, and a request that
 * would have been served must not be refused.
 */
const certainty = 1.5
/** Least excess over that time: short waits vary by more than their length. */
const leastExcess: Ms = 1_000

/**
 * Decides whether a request can't get an adapter slot in its time.
 *
 * @param waits - predicted wait at each upstream where the request may queue, undefined where none is known
 * @param patience - ms that the request may wait
 * @returns the shortest predicted wait if none can come true in time; undefined when the request should wait
 */
export function hopelessWait (waits: readonly (Ms | undefined)[], patience: Ms): Ms | undefined {
  if (waits.length === 0) return undefined
  const shortest = Math.min(...waits.map(wait => wait ?? 0))
  return shortest > Math.max(certainty * patience, patience + leastExcess) ? shortest : undefined
}
