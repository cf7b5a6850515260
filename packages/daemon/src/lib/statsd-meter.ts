/**
 * Sends metrics to a StatsD server with hot-shots.
 */
import { StatsD } from 'hot-shots'
import { type Meter, silentMeter } from '@hazelford/sidecar'

/** Where the StatsD server listens. */
export interface StatsdAddress {
  readonly host: string
  readonly port: number
}

/**
 * Creates a meter.
 *
 * @param address - address of the StatsD server; undefined discards all values
 * @param tags - tags of every metric
 */
export function createStatsdMeter (address: StatsdAddress | undefined, tags: Record<string, string>): Meter {
  if (address === undefined) return silentMeter
  const client = new StatsD({ ...address, prefix: 'hazelford.', globalTags: tags, errorHandler: () => {} })
  return {
    count: (name, by = 1, own = {}) => client.increment(name, by, own),
    gauge: (name, value) => client.gauge(name, value),
    timing: (name, ms, own = {}) => client.timing(name, ms, own)
  }
}
