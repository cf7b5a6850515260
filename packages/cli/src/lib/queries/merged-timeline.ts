/**
 * Events of all processes, merged in causal order.
 */
import type { TimelineEvent } from '@hazelford/core'

/** An event with the name of its process. */
export interface ProcessEvent extends TimelineEvent { readonly process: string }

/** Merged events, and the processes whose events are missing or incomplete. */
export interface MergedTimeline {
  readonly events: readonly ProcessEvent[]
  readonly unreachable: readonly string[]
  /** Processes whose ring buffers have dropped events. */
  readonly overflowed: readonly string[]
}
