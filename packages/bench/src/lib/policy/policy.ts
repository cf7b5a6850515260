/**
 * The interface of the compared policies and of the experiment that runs them.
 */
import type { Arrival, Conditions, Deployment } from './deployment.js'
import type { EventQueue } from './event-queue.js'
import type { Random } from '../random.js'
import type { SimStore } from './sim-store.js'

/** Events that a policy reports to the experiment. */
export interface PolicyEvents {
  /** The request's adapter is loaded, whether the request had to wait for it or not. */
  readonly ready: (id: string) => void
  readonly firstToken: (id: string) => void
  readonly finished: (id: string) => void
  readonly refused: (id: string) => void
  readonly retried: () => void
  readonly loaded: (adapter: string) => void
  readonly evicted: (adapter: string) => void
}

/** The simulated environment of a policy. */
export interface PolicyContext {
  readonly deployment: Deployment
  readonly conditions: Conditions
  readonly queue: EventQueue
  readonly store: SimStore
  readonly random: Random
  readonly events: PolicyEvents
}

/** Time of filled batch slots, busy time and tokens over all engines. */
export interface FillTotals { readonly filledMs: number, readonly busyMs: number, readonly tokens: number }

/** One of the compared policies with its engines. */
export interface Policy {
  readonly arrive: (arrival: Arrival) => void
  /** Restarts engine 0 without adapters. */
  readonly restartEngine: () => void
  readonly fill: () => FillTotals
}

/** Creates a policy in an environment. */
export type CreatePolicy = (context: PolicyContext) => Policy
