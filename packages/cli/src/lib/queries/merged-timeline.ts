/**
 * Events of all processes in one order.
 */
import type { TimelineEvent } from '@hazelford/core'

/** An event and the process it happened in. */
export interface PlacedEvent extends TimelineEvent { readonly process: string }

/** Merged events and what is missing from them. */
export interface MergedTimeline {
  readonly events: readonly PlacedEvent[]
  readonly unreachable: readonly string[]
  /** Processes whose rings dropped events. */
  readonly overflowed: readonly string[]
}
