/**
 * Requests under which the upstream of a sidecar ended.
 */
import type { Ms } from '@hazelford/core'

/** A request that was running when the upstream ended. */
export interface InterruptedRequest {
  /** Its digest. */
  readonly request: string
  /** Ms since the end. */
  readonly age: Ms
}

/** How long an end is told of; entries hold a request back for as long. */
const toldFor: Ms = 600_000
/** Most requests told of. Those that had no answer yet when an engine ended were one to three at each of ten ends. */
const toldAtMost = 32

/**
 * Remembers which requests were running when the upstream ended.
 *
 * Told with each heartbeat, so that an entry that starts later, or missed one, hears of them all the same.
 */
export class InterruptedRequests {
  private readonly _ends = new Map<string, Ms>()

  /** Notes a request that was running when the upstream ended. */
  note (request: string, now: Ms): void {
    this._ends.delete(request)
    this._ends.set(request, now)
    for (const oldest of this._ends.keys()) {
      if (this._ends.size <= toldAtMost) break
      this._ends.delete(oldest)
    }
  }

  /** Forgets what was answered whole here since: what ends an engine is never answered. */
  answered (request: () => string): void {
    if (this._ends.size > 0) this._ends.delete(request())
  }

  /** What entries are told. */
  list (now: Ms): readonly InterruptedRequest[] {
    for (const [request, at] of this._ends) if (now - at >= toldFor) this._ends.delete(request)
    return [...this._ends].map(([request, at]) => ({ request, age: now - at }))
  }
}
