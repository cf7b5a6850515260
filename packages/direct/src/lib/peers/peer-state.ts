/**
 * State that an entry which starts during an outage of the store takes over from a peer.
 */
import { type Clock, type Instant, instantOf, type Log, type Ms, sleep } from '@hazelford/core'
import type { AdapterVersion, RouteConfig, UpstreamRecord } from '@hazelford/ports'
import type { PeerClient } from './peer-client.js'
import type { Departure } from '../placing/membership.js'
import type { HolderListing, PeerAddress } from './peer-table.js'

/** Everything an entry needs to serve. */
export interface PeerState {
  /** Ms since the store last answered the peer. */
  readonly age: Ms
  /**
   * Ms for which the peer's view may have missed a change; undefined from an entry of a version that does not send it.
   */
  readonly viewAge?: Ms
  readonly config: RouteConfig
  readonly versions: readonly AdapterVersion[]
  readonly upstreams: readonly UpstreamRecord[]
  /** Upstreams that are gone; undefined from an entry of a version that does not send them. */
  readonly departures?: readonly Departure[]
  readonly entries: readonly PeerAddress[]
  readonly holders: readonly HolderListing[]
  /** Fingerprints of quarantined requests; undefined from an entry of a version that does not send them. */
  readonly heldRequests?: readonly string[]
}

/** How current an entry's configuration is. */
export interface ConfigAge {
  readonly version: number
  /** Ms for which it may have changed without the entry knowing. */
  readonly viewAge: Ms
}

/** Time within which the store answers an entry that starts, if it answers at all. */
const storeGrace: Ms = 700
const retryPause: Ms = 500

/**
 * Requests the state of peers until one answers or the store does.
 *
 * An entry restarted during an outage of the store would otherwise refuse every caller until the outage ends, although
 * its peers have all the state that it needs.
 *
 * @param seeds - addresses of peers; some may be gone
 * @param client - calls them
 * @param clock - for the pauses
 * @param log - for peers that don't answer
 * @param known - whether the store has answered
 * @param apply - applies a peer's state
 */
export async function fetchStateFromPeers (
  seeds: readonly { readonly host: string, readonly port: number }[],
  client: PeerClient,
  clock: Clock,
  log: Log,
  known: () => boolean,
  apply: (state: PeerState, asked: Instant) => void
): Promise<void> {
  await sleep(clock, storeGrace)
  while (!known() && seeds.length > 0) {
    for (const seed of seeds) {
      const asked = instantOf(clock)
      const state = await client.state(seed).catch((error: Error) => {
        log.info('peers', 'no state.', { peer: `${seed.host}:${seed.port}`, cause: error.message })
        return undefined
      })
      if (state === undefined || known()) continue
      apply(state, asked)
      log.info('peers', 'state applied.', { peer: `${seed.host}:${seed.port}`, version: state.config.version, upstreams: state.upstreams.length })
      return
    }
    await sleep(clock, retryPause)
  }
}
