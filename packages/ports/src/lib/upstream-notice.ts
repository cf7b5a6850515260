/**
 * Notices that an upstream attaches to its answers about its own state.
 */
import type { Ms } from '@hazelford/core'

/** Notice in one answer, about the upstream that sent the answer. */
export interface UpstreamNotice {
  /** Requests per second that the upstream accepts, summed over all entries; undefined when the answer states no limit. */
  readonly rateLimit: number | undefined
  /** Whether the upstream is about to terminate and accepts no new requests. */
  readonly leaving: boolean
  /** Ms for which the upstream asks this entry to back off; undefined when it does not ask for that. */
  readonly backoff: Ms | undefined
}
