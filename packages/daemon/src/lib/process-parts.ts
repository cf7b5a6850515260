/**
 * Components that every daemon has, independent of its role.
 */
import { type Clock, EventRing, HybridClock, type Log, systemClock } from '@hazelford/core'
import type { Settings } from '@hazelford/config'
import { createKvClient, type KvClient, withBreaker } from '@hazelford/consul'
import type { Meter } from '@hazelford/sidecar'
import { createBunyanLog } from './bunyan-log.js'
import { createStatsdMeter } from './statsd-meter.js'

/** Clock, log, metrics, events and the client of the key-value service. */
export interface ProcessParts {
  readonly clock: Clock
  readonly log: Log
  readonly hlc: HybridClock
  readonly events: EventRing
  readonly meter: Meter
  readonly kv: KvClient
}

/**
 * Creates the common components.
 *
 * @param settings - settings of the daemon
 */
export function createProcessParts (settings: Settings): ProcessParts {
  const hlc = new HybridClock(systemClock)
  const { name, zone, role } = settings
  return {
    clock: systemClock,
    log: createBunyanLog(name, settings.log_level),
    hlc,
    events: new EventRing(hlc),
    meter: createStatsdMeter(settings.statsd, { name, zone, role }),
    kv: withBreaker(createKvClient(settings.kv_url), systemClock)
  }
}
