/**
 * What the compared policies have in common: an engine side and a routing side.
 */
import type { Arrival, Conditions, Deployment } from './deployment.js'
import type { EventQueue } from './event-queue.js'
import type { Random } from '../random.js'
import type { SimStore } from './sim-store.js'

/** What a policy tells the experiment. */
export interface PolicyEvents {
  /** The request's adapter is ready, whether it had to wait or not. */
  readonly ready: (id: string) => void
  readonly firstToken: (id: string) => void
  readonly finished: (id: string) => void
  readonly refused: (id: string) => void
  readonly retried: () => void
  readonly loaded: (adapter: string) => void
  readonly evicted: (adapter: string) => void
}

/** What a policy runs in. */
export interface PolicyWorld {
  readonly deployment: Deployment
  readonly conditions: Conditions
  readonly queue: EventQueue
  readonly store: SimStore
  readonly random: Random
  readonly events: PolicyEvents
}

/** Places filled, busy time and tokens over all engines. */
export interface FillTotals { readonly filledMs: number, readonly busyMs: number, readonly tokens: number }

/** One of the compared systems. */
export interface Policy {
  readonly arrive: (arrival: Arrival) => void
  /** Engine 0 restarts cold. */
  readonly restartEngine: () => void
  readonly fill: () => FillTotals
}

/** Builds a policy in a world. */
export type CreatePolicy = (world: PolicyWorld) => Policy
