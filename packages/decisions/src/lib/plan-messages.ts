/**
 * Messages and effects of the plan for one upstream.
 */
import type { AdapterKey, FailureCode, Ms } from '@hazelford/core'
import type { PlanRequest } from './wait-queue.js'

/** Limits of an upstream, from the configuration. */
export interface PlanLimits {
  /** Adapter slots. */
  readonly slots: number
  /** Batch slots: requests that the upstream runs at once. */
  readonly places: number
  readonly queueLimit: number
  /** Time for which drafts wait for other requests to share a batch with when the engine is idle. */
  readonly draftLinger: Ms
}

/** An event. Every message carries the time at which it happened. */
export type PlanMessage =
  | { readonly kind: 'arrive', readonly at: Ms, readonly request: PlanRequest }
  | { readonly kind: 'withdraw', readonly at: Ms, readonly id: string }
  | { readonly kind: 'finished', readonly at: Ms, readonly id: string, readonly ran: boolean }
  | { readonly kind: 'not-loaded', readonly at: Ms, readonly id: string }
  | { readonly kind: 'permit', readonly at: Ms }
  | { readonly kind: 'load-ended', readonly at: Ms, readonly adapter: AdapterKey, readonly loaded: boolean, readonly took: Ms }
  | { readonly kind: 'unload-ended', readonly at: Ms, readonly adapter: AdapterKey, readonly outcome: 'unloaded' | 'unknown' }
  | { readonly kind: 'slots-listed', readonly at: Ms, readonly loaded: readonly AdapterKey[] }
  | { readonly kind: 'limits', readonly at: Ms, readonly limits: PlanLimits }
  | { readonly kind: 'leave', readonly at: Ms }
  /** The operator has ended a drain: the upstream accepts work again. */
  | { readonly kind: 'return', readonly at: Ms }
  | { readonly kind: 'tick', readonly at: Ms }

/** What the caller of the plan must do. */
export type PlanEffect =
  | { readonly kind: 'start', readonly id: string }
  | { readonly kind: 'refuse', readonly id: string, readonly code: FailureCode, readonly retryAfter: Ms }
  | { readonly kind: 'want-permit', readonly rank: number }
  | { readonly kind: 'return-permit' }
  | { readonly kind: 'load', readonly adapter: AdapterKey }
  | { readonly kind: 'unload', readonly adapter: AdapterKey }
  | { readonly kind: 'list-slots' }
  | { readonly kind: 'wake', readonly after: Ms }

/** The sidecar's report to the entries. */
export interface PlanReport {
  readonly running: number
  readonly queued: number
  /** Batch slots: requests that the upstream runs at once. */
  readonly places: number
  /** Adapter slots. */
  readonly slots: number
  readonly adapters: readonly { readonly adapter: AdapterKey, readonly state: 'loading' | 'loaded', readonly pins: number }[]
  /** Moving average of the time of a load; 0 before the first. */
  readonly loadMs: Ms
  /** Number of adapters that waiting requests need and that are neither loaded nor being loaded. */
  readonly loadsWaiting: number
  /** Moving average of the time of a request at the upstream; 0 before the first. */
  readonly serviceMs: Ms
}
