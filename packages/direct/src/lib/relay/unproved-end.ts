/**
 * Why the end of an answer without a length is not believed.
 */
import { assertNever } from '@hazelford/core'

/**
 * - `reset`: its connection was reset at its end.
 * - `unknown`: how its connection ended is not known.
 * - `not-running`: the upstream's process is gone, or can't be reached, so its kernel may have ended the connection.
 */
export type UnprovedEnd = 'reset' | 'unknown' | 'not-running'

/** Text for the log. */
export function describeUnprovedEnd (end: UnprovedEnd): string {
  switch (end) {
    case 'reset': return 'The connection was reset at the end of the answer.'
    case 'unknown': return 'The connection is not known to have ended in an orderly way.'
    case 'not-running': return 'The process of the upstream is not known to run after the end of the answer.'
    default: return assertNever(end)
  }
}
