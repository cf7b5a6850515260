/**
 * Counts the moments at which upstreams terminated.
 */
import type { Ms } from '@hazelford/core'

/** Terminations that are closer to each other than this can have one cause from outside, such as the loss of a rack. */
const sameMomentWithin: Ms = 300

/** Counts the moments over which some terminations are spread. */
export function countMoments (times: readonly Ms[]): number {
  let moments = 0
  let since = -Infinity
  for (const at of [...times].sort((a, b) => a - b)) {
    if (at - since < sameMomentWithin) continue
    moments++
    since = at
  }
  return moments
}
