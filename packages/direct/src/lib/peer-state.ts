/**
 * What an entry that starts while the store is away takes from another.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms, sleep } from '@hazelford/core'
import type { AdapterVersion, RouteConfig, UpstreamRecord } from '@hazelford/ports'
import type { PeerClient } from './peer-client.js'
import type { HolderListing, PeerAddress } from './peer-table.js'

/** Everything an entry needs to serve. */
export interface PeerState {
  /** Ms since the peer heard the store. */
  readonly age: Ms
  /** Ms since which the peer's view may have missed something; undefined from an entry of a version that does not say. */
  readonly viewAge?: Ms
  readonly config: RouteConfig
  readonly versions: readonly AdapterVersion[]
  readonly upstreams: readonly UpstreamRecord[]
  readonly entries: readonly PeerAddress[]
  readonly holders: readonly HolderListing[]
  /** Fingerprints of requests that are held back; undefined from an entry of a version that does not say. */
  readonly heldRequests?: readonly string[]
}

/** How well an entry knows the configuration. */
export interface ConfigAge {
  readonly version: number
  /** Ms since which it may have changed unheard. */
  readonly viewAge: Ms
}

/** Time in which the store answers an entry that starts, if it answers at all. */
const storeFirst: Ms = 700
const askAgain: Ms = 500

/**
 * Asks peers until something is known.
 *
 * A restart during an outage of the store would otherwise refuse every caller until the
 * outage ends, though the entries beside it know all that is needed.
 *
 * @param seeds - where peers may be; some may be gone
 * @param client - calls them
 * @param clock - for the pauses
 * @param log - hears of peers that don't answer
 * @param known - whether the store has answered meanwhile
 * @param take - takes a peer's state
 */
export async function fetchStateFromPeers (
  seeds: readonly { readonly host: string, readonly port: number }[],
  client: PeerClient,
  clock: Clock,
  log: Log,
  known: () => boolean,
  take: (state: PeerState, asked: Instant) => void
): Promise<void> {
  await sleep(clock, storeFirst)
  while (!known() && seeds.length > 0) {
    for (const seed of seeds) {
      const asked = instantOf(clock)
      const state = await client.state(seed).catch((error: Error) => {
        log.info('peers', 'no state.', { peer: `${seed.host}:${seed.port}`, cause: error.message })
        return undefined
      })
      if (state === undefined || known()) continue
      take(state, asked)
      log.info('peers', 'state taken.', { peer: `${seed.host}:${seed.port}`, version: state.config.version, upstreams: state.upstreams.length })
      return
    }
    await sleep(clock, askAgain)
  }
}
