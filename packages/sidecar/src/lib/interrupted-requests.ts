/**
 * Requests that the upstream of a sidecar was running when it terminated.
 */
import type { Ms } from '@hazelford/core'

/** A request that the upstream was running when it terminated. */
export interface InterruptedRequest {
  /** Digest of the call. */
  readonly request: string
  /** Ms since the termination. */
  readonly age: Ms
}

/** How long a request is reported after the termination; entries quarantine a request for as long. */
const reportDuration: Ms = 600_000
/** Most requests reported. One to three requests had no answer yet at each of ten observed engine terminations. */
const maxReported = 32

/**
 * Records which requests the upstream was running when it terminated.
 *
 * The list is sent with each heartbeat, so that an entry that starts later or misses a heartbeat still receives it.
 */
export class InterruptedRequests {
  private readonly _interruptedAt = new Map<string, Ms>()

  /** Records a request that the upstream was running when it terminated. */
  record (request: string, now: Ms): void {
    this._interruptedAt.delete(request)
    this._interruptedAt.set(request, now)
    for (const oldest of this._interruptedAt.keys()) {
      if (this._interruptedAt.size <= maxReported) break
      this._interruptedAt.delete(oldest)
    }
  }

  /** Removes a request that has since been answered completely: a request that crashes the engine is never answered. */
  removeAnswered (request: () => string): void {
    if (this._interruptedAt.size > 0) this._interruptedAt.delete(request())
  }

  /** The requests to report to entries, without those whose reporting time is over. */
  list (now: Ms): readonly InterruptedRequest[] {
    for (const [request, at] of this._interruptedAt) if (now - at >= reportDuration) this._interruptedAt.delete(request)
    return [...this._interruptedAt].map(([request, at]) => ({ request, age: now - at }))
  }
}
