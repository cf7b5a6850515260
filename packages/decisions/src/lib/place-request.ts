/**
 * Ranks the upstreams to which an entry may send a request directly.
 */
import { assertNever, type Ms } from '@hazelford/core'

/**
 * State of the request's adapter at an upstream, as far as this entry knows.
 *
 * - `loaded`: a request can start at once.
 * - `recent`: the adapter was loaded there recently; a copy in the host's memory loads ten times as fast as one from
 *   the weight store.
 * - `loadable`: a holder can order its load.
 * - `unavailable`: no holder can order its load now.
 */
export type AdapterPresence = 'loaded' | 'recent' | 'loadable' | 'unavailable'

/** One upstream that may get the request. */
export interface PlacementCandidate {
  readonly id: string
  readonly sameZone: boolean
  /** Requests of all entries there, as far as this entry knows. */
  readonly running: number
  /** Prompt tokens sent there that the upstream can't have read yet. */
  readonly promptBacklog: number
  /** Batch slots: requests that the upstream runs at once. */
  readonly slots: number
  /** Speed relative to the median engine of its service: 0.4 takes 2.5 times as long for everything. */
  readonly speed: number
  /** Moving average of the time to the first byte; 0 when unknown. */
  readonly latency: Ms
  readonly failureShare: number
  readonly adapter: AdapterPresence
  /** Position in the adapter's rendezvous order; 0 for a request without an adapter. */
  readonly rank: number
}

/** Values that are the same for all candidates of one request. */
export interface PlacementContext {
  /** Number of home upstreams of the adapter, over which its requests are spread. */
  readonly replicas: number
  /** Ms that a request of the service occupies a batch slot; 0 when unknown. */
  readonly serviceTime: Ms
  /** Tokens of the request's own prompt. */
  readonly promptTokens: number
}

/** Cost of another availability zone: a message there and back, and the price of the traffic. */
const crossZoneCost: Ms = 4
/** Wait for a load from a copy in the host's memory. */
const hostCopyLoadCost: Ms = 40
/** Wait for a load from the weight store. */
const storeLoadCost: Ms = 250
/**
 * Cost of a copy outside the adapter's home upstreams, on top of the wait for its load: it takes an adapter slot from
 * another adapter, and other entries don't look for it there first. It is higher than the cost of a full batch, so that
 * a busy home alone causes no second copy.
 */
const extraCopyCost: Ms = 280
/**
 * Cost of using an existing copy outside the adapter's home upstreams: it is used while it is loaded, but attracts no
 * lasting traffic.
 */
const extraCopyUseCost: Ms = 20
const unavailableCost: Ms = 1_500
/** Time by which a request in a full batch gets its first event later than one in an empty batch. */
const fullBatchCost: Ms = 120
/** Least cost of each request beyond the batch slots; used as it is where the service time is unknown. */
const queueCost: Ms = 40
/**
 * Prompt tokens that an engine reads per ms; large models on current accelerators read 30 to 40. While it reads a
 * prompt, the streams that run there stand still, and all of them are late when several long prompts arrive together.
 */
export const promptTokensPerMs = 35
/**
 * Cost of a pause beyond the route's target: the caller gets the answer, but later than it is of full use, which is about
 * half of a failed request.
 */
const pauseCost: Ms = 400
/** Chance that a stream in a full batch of a median engine has a pause beyond the route's target. */
const fullBatchPauseChance = 0.1
/** A failed request costs its caller about one latency target. */
const failureCost: Ms = 800

function adapterCost ({ adapter, rank }: PlacementCandidate, { replicas }: PlacementContext): Ms {
  const atHome = rank < replicas
  const awayFromHome = atHome ? 0 : extraCopyUseCost
  switch (adapter) {
    case 'loaded': return awayFromHome
    case 'recent': return hostCopyLoadCost + awayFromHome
    case 'loadable':
      if (!atHome) return storeLoadCost + extraCopyCost
      // A further home of a popular adapter must be cheap enough to be loaded, or it would never be used.
      return replicas > 1 ? hostCopyLoadCost : storeLoadCost
    case 'unavailable': return unavailableCost + awayFromHome
    default: return assertNever(adapter)
  }
}

/**
 * Wait for a batch slot behind the requests that wait already. With streams of 2.5 s and 12 batch slots, one becomes
 * free every 208 ms.
 */
function batchSlotWait ({ running, slots }: PlacementCandidate, { serviceTime }: PlacementContext): Ms {
  return Math.max(0, running + 1 - slots) * Math.max(queueCost, serviceTime / slots)
}

/**
 * Costs beyond those at a median engine, less than 0 at a faster one: reading the request's own prompt, and pauses of its
 * stream.
 *
 * An engine that is k times slower holds each stream k times as long and stops it k times as long for each prompt, so the
 * chance of a pause grows with the square of k.
 */
function speedCost ({ running, slots, speed }: PlacementCandidate, { promptTokens }: PlacementContext): Ms {
  const pauseChance = Math.min(1, running / slots) * fullBatchPauseChance
  return promptTokens / promptTokensPerMs * (1 / speed - 1) + pauseCost * (Math.min(1, pauseChance / speed ** 2) - pauseChance)
}

function cost (candidate: PlacementCandidate, context: PlacementContext): Ms {
  const { speed } = candidate
  return adapterCost(candidate, context) + (candidate.sameZone ? 0 : crossZoneCost) + candidate.running / candidate.slots * fullBatchCost / speed +
    batchSlotWait(candidate, context) / speed + candidate.promptBacklog / promptTokensPerMs / speed + candidate.failureShare * failureCost + candidate.latency +
    speedCost(candidate, context)
}

/**
 * Exponent of an engine's speed in its share of the adapters. A stream on an engine that is k times slower is stopped k
 * times as long by each prompt and is there for k times as many of them; with 1/k² of the requests it is stopped for no
 * longer than elsewhere.
 */
const homeWeightExponent = 2

/**
 * Weight of an engine among the homes of adapters.
 *
 * @param speed - relative to the median engine of its service
 */
export function homeWeight (speed: number): number { return speed ** homeWeightExponent }

/**
 * Number of first homes of an adapter that have the speed of a number of median engines.
 *
 * @param wanted - number of median engines
 * @param speeds - of the service's engines, in the adapter's rendezvous order
 */
export function homesWithSpeed (wanted: number, speeds: readonly number[]): number {
  // A second copy of an adapter that needs one home would take an adapter slot from another adapter.
  if (wanted <= 1) return wanted
  let sum = 0
  const last = speeds.findIndex(speed => (sum += speed) >= wanted)
  return last === -1 ? speeds.length : last + 1
}

/**
 * Ranks candidates by the wait that a request can expect there.
 *
 * Serves very many adapters of skewed popularity. Each adapter has a few home upstreams that all entries compute alike,
 * so that its adapter slot, its copy in the host's memory and the cached parts of its prompts are in one place. The
 * most popular adapters have more homes, so that no batch is full while others are empty.
 *
 * @param candidates - upstreams that may have the request
 * @param context - values that are the same for all of them
 * @returns best first
 */
export function rankCandidates (candidates: readonly PlacementCandidate[], context: PlacementContext): readonly PlacementCandidate[] {
  return candidates
    .map(candidate => ({ candidate, cost: cost(candidate, context) }))
    .sort((a, b) => a.cost - b.cost || a.candidate.rank - b.candidate.rank)
    .map(ranked => ranked.candidate)
}

/**
 * Share of a service's requests from which one adapter gets a second home, if the service has many adapter slots. The
 * choice between two homes evens out the load.
 */
const popularShare = 0.01
/**
 * Least share of the requests for each of two homes, as a multiple of the mean share of an adapter slot. Below it, the
 * second home takes an adapter slot from adapters that are requested more often.
 */
const minSlotShareFactor = 1
const homesPerShare = 2

/**
 * Number of home upstreams of an adapter.
 *
 * With skewed popularity a fifth of all requests are for one adapter and half of them for a dozen. With one home for
 * each, the fullest engine gets half as many requests again as the mean one. With two homes for each of the dozen, the
 * choice between them evens that out, at the price of a dozen adapter slots.
 *
 * @param share - share of the service's requests that are for the adapter, 0 to 1
 * @param upstreams - number of upstreams of the service
 * @param slotsEach - adapter slots of one of them
 */
export function replicasFor (share: number, upstreams: number, slotsEach: number): number {
  const popular = Math.max(popularShare, 2 * minSlotShareFactor / (upstreams * slotsEach))
  const wanted = Math.max(share >= popular ? 2 : 1, Math.ceil(share * upstreams * homesPerShare))
  return Math.min(upstreams, wanted)
}
