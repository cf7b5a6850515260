/**
 * Options of an entry.
 */
import type { Clock, EventRing, HybridClock, Log, Ms } from '@hazelford/core'
import type { HostListClient, KvClient } from '@hazelford/consul'

/** Receives counts and timings; the daemon sends them to StatsD. */
export interface EntryMeter {
  readonly count: (name: string, by?: number, tags?: Record<string, string>) => void
  readonly timing: (name: string, ms: Ms, tags?: Record<string, string>) => void
}

/** Settings and dependencies of an entry. Tests replace the clients by fakes. */
export interface EntryOptions {
  readonly name: string
  readonly zone: string
  readonly kv: KvClient
  readonly hostList: HostListClient
  readonly clock: Clock
  readonly log: Log
  readonly hlc: HybridClock
  readonly events: EventRing
  readonly meter: EntryMeter
  readonly maxBodyBytes: number
  readonly maxOpenRequests: number
  /** How long connections are still accepted after the entry stopped reporting ready, in ms. */
  readonly balancerNoticeMs: Ms
  readonly heartbeatMs?: Ms
}
