/**
 * Metrics to a StatsD server, by hot-shots.
 */
import { StatsD } from 'hot-shots'
import { type Meter, silentMeter } from '@hazelford/sidecar'

/** Where the StatsD server listens. */
export interface StatsdAddress {
  readonly host: string
  readonly port: number
}

/**
 * Builds a meter.
 *
 * @param address - undefined measures nothing
 * @param tags - on every metric
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
