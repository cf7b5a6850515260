/**
 * Options of a sidecar.
 */
import type { Clock, EventRing, HybridClock, Log, Ms } from '@hazelford/core'
import type { EngineClient, PlainClient } from '@hazelford/engine'
import type { KvClient } from '@hazelford/consul'

/** Client of the upstream that the sidecar serves. */
export type UpstreamClient =
  | { readonly kind: 'model', readonly engine: EngineClient }
  | { readonly kind: 'plain', readonly plain: PlainClient }

/** Receives counts, gauges and timings; the daemon sends them to StatsD. */
export interface Meter {
  readonly count: (name: string, by?: number, tags?: Record<string, string>) => void
  readonly gauge: (name: string, value: number) => void
  readonly timing: (name: string, ms: Ms, tags?: Record<string, string>) => void
}

/** A meter that discards all values. */
export const silentMeter: Meter = { count: () => {}, gauge: () => {}, timing: () => {} }

/** Settings and dependencies of a sidecar. Tests replace the clients by fakes. */
export interface SidecarOptions {
  readonly name: string
  readonly zone: string
  readonly upstream: string
  readonly client: UpstreamClient
  readonly kv: KvClient
  readonly clock: Clock
  readonly log: Log
  readonly hlc: HybridClock
  readonly events: EventRing
  readonly meter: Meter
  /** How long a check of the fencing number stays valid, in ms. */
  readonly leaseMs: Ms
  /** Ms between heartbeats; default 250. */
  readonly heartbeatMs?: Ms
  readonly random?: () => number
}
