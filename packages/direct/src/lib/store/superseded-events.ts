/**
 * Finds changes in the store that later changes have replaced.
 */
import type { StoreEvent } from '@hazelford/ports'

function keyOf (event: StoreEvent): string { return event.kind === 'put' ? event.item.key : event.key }

/**
 * Drops each value that the next change of its key replaces by another value. A removal stays, and so does the value
 * before it: an upstream that was draining when its record was removed is gone at once.
 *
 * @param events - changes, in order of their revisions
 * @returns the other changes, in the same order
 */
export function dropSuperseded (events: readonly StoreEvent[]): readonly StoreEvent[] {
  const next = new Map<string, StoreEvent['kind']>()
  const kept: StoreEvent[] = []
  for (const event of [...events].reverse()) {
    const key = keyOf(event)
    if (event.kind === 'removed' || next.get(key) !== 'put') kept.push(event)
    next.set(key, event.kind)
  }
  return kept.reverse()
}
