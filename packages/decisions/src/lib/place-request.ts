/**
 * Ranks the upstreams that a request may be sent to directly.
 */
import type { Ms } from '@hazelford/core'

/**
 * What is known of the request's adapter at an upstream.
 *
 * - `loaded`: a request can start at once.
 * - `loadable`: somebody can order it.
 * - `unavailable`: nobody can order it there now.
 */
export type AdapterPresence = 'loaded' | 'loadable' | 'unavailable'

/** One upstream as the ranking sees it. */
export interface PlacementCandidate {
  readonly id: string
  readonly sameZone: boolean
  /** Requests this entry has there. */
  readonly outstanding: number
  /** Requests it runs at once. */
  readonly slots: number
  /** Smoothed time to the first byte, 0 when unknown. */
  readonly latency: Ms
  readonly failureShare: number
  readonly adapter: AdapterPresence
  /** Position in the adapter's rendezvous order; 0 for a request without an adapter. */
  readonly rank: number
}

/** What holds for all candidates of one request. */
export interface PlacementContext {
  /** Entries that send to the same upstreams. */
  readonly entries: number
  /** Upstreams that the adapter's requests are spread over. */
  readonly replicas: number
}

/** A message to another zone and back, and the price of its bytes. */
const otherZoneCost: Ms = 4
/** Wait for an adapter that its home has held before: a copy is in the host's memory. */
const homeLoadCost: Ms = 40
/**
 * Wait for an adapter that comes from the weight store, and a slot taken from another
 * adapter: worth more than the fullest batch costs.
 */
const awayLoadCost: Ms = 300
const unavailableCost: Ms = 1_500
/** How much slower a full batch is than an empty one, to the caller who waits for its first event. */
const fullBatchCost: Ms = 120
/** Cost of each request beyond the batch: it waits for a place. */
const queueCost: Ms = 40
/** A failed request costs its caller about a latency target. */
const failureCost: Ms = 800

function cost (candidate: PlacementCandidate, context: PlacementContext): Ms {
  // The other entries send as this one does; their part isn't seen otherwise in time.
  const running = candidate.outstanding * context.entries
  const waiting = Math.max(0, running + 1 - candidate.slots)
  const atHome = candidate.rank < context.replicas
  const load = { loaded: 0, loadable: atHome ? homeLoadCost : awayLoadCost, unavailable: unavailableCost }[candidate.adapter]
  // A copy away from home is used while it is there, but draws no lasting traffic.
  const stray = atHome ? 0 : homeLoadCost / 2
  return load + stray + (candidate.sameZone ? 0 : otherZoneCost) + running / candidate.slots * fullBatchCost +
    waiting * queueCost + candidate.failureShare * failureCost + candidate.latency
}

/**
 * Ranks candidates by the wait that a request can expect there.
 *
 * Answers the load of very many adapters with skewed popularity: each has a few homes that
 * all entries agree on, so that its slot, its recent copy in the host's memory and the
 * cached prompt parts are in one place; the hottest have more homes, so that no batch
 * fills while others are empty.
 *
 * @param candidates - upstreams that may have the request
 * @param context - what holds for all of them
 * @returns best first
 */
export function rankCandidates (candidates: readonly PlacementCandidate[], context: PlacementContext): readonly PlacementCandidate[] {
  return candidates
    .map(candidate => ({ candidate, cost: cost(candidate, context) }))
    .sort((a, b) => a.cost - b.cost || a.candidate.rank - b.candidate.rank)
    .map(ranked => ranked.candidate)
}

/**
 * Homes of an adapter.
 *
 * @param share - part of the service's requests that are for it, 0 to 1
 * @param upstreams - upstreams of the service
 * @returns how many; 1.5 times its fair part, so that its homes stay under the mean load
 */
export function replicasFor (share: number, upstreams: number): number {
  return Math.max(1, Math.min(upstreams, Math.ceil(share * upstreams * 1.5)))
}
