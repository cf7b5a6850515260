/**
 * What an entry is built from.
 */
import type { Clock, EventRing, HybridClock, Log, Ms } from '@hazelford/core'
import type { HostListClient, KvClient } from '@hazelford/consul'

/** Counts and timings; the daemon sends them on. */
export interface EntryMeter {
  readonly count: (name: string, by?: number, tags?: Record<string, string>) => void
  readonly timing: (name: string, ms: Ms, tags?: Record<string, string>) => void
}

/** Everything an entry works with. Tests replace the clients by fakes. */
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
  /** Ms for which connections are still accepted after readiness went off. */
  readonly balancerNoticeMs: Ms
  readonly heartbeatMs?: Ms
}
