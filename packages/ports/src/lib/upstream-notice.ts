/**
 * What an upstream says of itself in its answers.
 */
import type { Ms } from '@hazelford/core'

/** What one answer says of the upstream that gave it. */
export interface UpstreamNotice {
  /** Requests a second that the upstream takes from all entries together; undefined when it names no limit. */
  readonly rateLimit: number | undefined
  /** Whether it is about to end and takes no new requests. */
  readonly leaving: boolean
  /** Ms for which it wants nothing more from this entry; undefined when it does not ask for that. */
  readonly backoff: Ms | undefined
}
