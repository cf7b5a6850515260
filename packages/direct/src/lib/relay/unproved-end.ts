/**
 * Why the end of an answer without a length is not believed.
 */
import { assertNever } from '@hazelford/core'

/**
 * - `reset`: its connection was reset at its end.
 * - `unknown`: how its connection ended is not known.
 * - `not-listening`: the upstream does not listen any more, so its kernel may have ended the connection.
 */
export type UnprovedEnd = 'reset' | 'unknown' | 'not-listening'

/** Text for the log. */
export function describeUnprovedEnd (end: UnprovedEnd): string {
  switch (end) {
    case 'reset': return 'The connection was reset at the end of the answer.'
    case 'unknown': return 'The connection is not known to have ended in an orderly way.'
    case 'not-listening': return 'The upstream does not listen any more after the end of the answer.'
    default: return assertNever(end)
  }
}
