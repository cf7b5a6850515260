/**
 * Ranks the upstreams that a request may be sent to directly.
 */
import { assertNever, type Ms } from '@hazelford/core'

/**
 * What is known of the request's adapter at an upstream.
 *
 * - `loaded`: a request can start at once.
 * - `recent`: it was there lately; a copy in the host's memory loads ten times as fast as the weight store.
 * - `loadable`: somebody can order it.
 * - `unavailable`: nobody can order it there now.
 */
export type AdapterPresence = 'loaded' | 'recent' | 'loadable' | 'unavailable'

/** One upstream as the ranking sees it. */
export interface PlacementCandidate {
  readonly id: string
  readonly sameZone: boolean
  /** Requests that all entries have there, as far as this one knows. */
  readonly running: number
  /** Prompt tokens sent there that it can't have read yet. */
  readonly promptBacklog: number
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
  /** Upstreams that the adapter's requests are spread over. */
  readonly replicas: number
  /** Ms that a request of the service stays at its upstream; 0 when unknown. */
  readonly serviceTime: Ms
}

/** A message to another zone and back, and the price of its bytes. */
const crossZoneCost: Ms = 4
/** Wait for an adapter of which a copy is in the host's memory. */
const hostCopyLoadCost: Ms = 40
/** Wait for an adapter that comes from the weight store. */
const storeLoadCost: Ms = 250
/**
 * Weighs a copy away from home, beside the wait: a slot taken from another adapter, and a place that the other
 * entries don't look at first. Worth more than the fullest batch costs.
 */
const extraCopyCost: Ms = 280
/** A copy that is away from home already is used while it is there, but draws no lasting traffic. */
const extraCopyUseCost: Ms = 20
const unavailableCost: Ms = 1_500
/** How much slower a full batch is than an empty one, to the caller who waits for its first event. */
const fullBatchCost: Ms = 120
/** Least cost of each request beyond the batch, where it is not known how long one stays. */
const queueCost: Ms = 40
/**
 * Prompt tokens that an engine reads in a ms; large models on current accelerators read 30
 * to 40. While it reads, the streams that run there stand still, and all of them are late
 * when several long prompts come together.
 */
export const promptTokensPerMs = 35
/** A failed request costs its caller about a latency target. */
const failureCost: Ms = 800

function adapterCost ({ adapter, rank }: PlacementCandidate, { replicas }: PlacementContext): Ms {
  const atHome = rank < replicas
  const awayFromHome = atHome ? 0 : extraCopyUseCost
  switch (adapter) {
    case 'loaded': return awayFromHome
    case 'recent': return hostCopyLoadCost + awayFromHome
    case 'loadable':
      if (!atHome) return storeLoadCost + extraCopyCost
      // A further home of a hot adapter is worth its load, or it would never be used.
      return replicas > 1 ? hostCopyLoadCost : storeLoadCost
    case 'unavailable': return unavailableCost + awayFromHome
    default: return assertNever(adapter)
  }
}

/** Wait for a place behind those who wait already: with streams of 2.5 s and 12 places, one is free each 208 ms. */
function batchSlotWait ({ running, slots }: PlacementCandidate, { serviceTime: stay }: PlacementContext): Ms {
  return Math.max(0, running + 1 - slots) * Math.max(queueCost, stay / slots)
}

function cost (candidate: PlacementCandidate, context: PlacementContext): Ms {
  return adapterCost(candidate, context) + (candidate.sameZone ? 0 : crossZoneCost) + candidate.running / candidate.slots * fullBatchCost +
    batchSlotWait(candidate, context) + candidate.promptBacklog / promptTokensPerMs + candidate.failureShare * failureCost + candidate.latency
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

/** Share of the requests from which an adapter has a second home, so that load can be evened out, where slots are many. */
const popularShare = 0.01
/**
 * Times the mean slot's share of the requests that each of two homes must serve, at least. Below, the second one
 * takes a slot from adapters that are asked for more often than it is.
 */
const minSlotShareFactor = 1
const homesPerShare = 2

/**
 * Homes of an adapter.
 *
 * Skewed popularity puts a fifth of all requests on one adapter and half of them on a dozen.
 * With one home each the fullest engine gets half as much again as the mean; with two for
 * each of the dozen the choice between them evens that out, for a dozen slots.
 *
 * @param share - part of the service's requests that are for it, 0 to 1
 * @param upstreams - upstreams of the service
 * @param slotsEach - adapters that one of them holds
 */
export function replicasFor (share: number, upstreams: number, slotsEach: number): number {
  const popular = Math.max(popularShare, 2 * minSlotShareFactor / (upstreams * slotsEach))
  const wanted = Math.max(share >= popular ? 2 : 1, Math.ceil(share * upstreams * homesPerShare))
  return Math.min(upstreams, wanted)
}
