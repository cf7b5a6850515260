/**
 * Chooses the upstream for a request.
 */
import type { AdapterKey, Ms } from '@hazelford/core'
import { rendezvousOrder } from './rendezvous.js'
import type { UpstreamView } from './upstream-view.js'

/** Weights of the costs, from the configuration. */
export interface RouteWeights {
  readonly stall: number
  readonly queue: number
  readonly batch: number
  readonly zonePenalty: Ms
}

/** The request to be sent. */
export interface RouteQuery {
  readonly adapter?: AdapterKey
  /** Set for a call with an idempotency key: repeated calls prefer the same upstream. */
  readonly affinityKey?: string
  /** The entry's own availability zone. */
  readonly zone: string
  /** Upstreams that have refused this request. */
  readonly tried: ReadonlySet<string>
}

/**
 * Weight of a load of an adapter that is loaded on another upstream: it costs the shared weight store, not only this
 * request.
 */
const extraReplicaFactor = 2
/** Factor by which an adapter's preferred upstream may exceed the mean load. */
const loadBoundFactor = 1.25
/** Costs that differ by less than this (ms) count as equal. */
const costTolerance: Ms = 2

/** Estimates that are used for all upstreams of a service. */
interface Estimates { readonly loadMs: Ms, readonly serviceMs: Ms, readonly backlog: number }

const defaultLoadMs: Ms = 500
const defaultServiceMs: Ms = 200

function meanKnown (values: readonly Ms[], fallback: Ms): Ms {
  const known = values.filter(value => value > 0)
  return known.length === 0 ? fallback : known.reduce((sum, value) => sum + value, 0) / known.length
}

/**
 * Averages what the upstreams measured.
 *
 * All of them load from one weight store. If each upstream's own values were used, the first one to load anything would
 * show a short time and the others still an estimate, so that all later loads would go to the first while the rest stay
 * empty.
 */
function estimatesOf (candidates: readonly UpstreamView[]): Estimates {
  return {
    loadMs: meanKnown(candidates.map(view => view.report.loadMs), defaultLoadMs),
    serviceMs: meanKnown(candidates.map(view => view.report.serviceMs), defaultServiceMs),
    backlog: candidates.reduce((sum, view) => sum + view.report.loadsWaiting, 0)
  }
}

function candidatesOf (query: RouteQuery, views: readonly UpstreamView[], now: Ms): readonly UpstreamView[] {
  const accepting = views.filter(view => view.accepts(now))
  const untried = accepting.filter(view => !query.tried.has(view.name))
  return untried.length > 0 ? untried : accepting
}

/** Power of two choices: of two random candidates, the one with the lower cost. */
function lighterOfTwo (candidates: readonly UpstreamView[], query: RouteQuery, weights: RouteWeights, now: Ms, random: () => number): UpstreamView {
  const pick = (): UpstreamView => candidates[Math.floor(random() * candidates.length)]!
  const [a, b] = [pick(), pick()]
  const { serviceMs } = estimatesOf(candidates)
  const cost = (view: UpstreamView): number =>
    (view.load + 1) / view.report.places / view.warmth(now) + (view.zone === query.zone ? 0 : weights.zonePenalty / serviceMs)
  return cost(a) <= cost(b) ? a : b
}

/** Rank of each candidate for an adapter that is loaded nowhere: rendezvous order, with overloaded candidates last. */
function placementOrder (adapter: AdapterKey, candidates: readonly UpstreamView[], now: Ms): ReadonlyMap<string, number> {
  const mean = candidates.reduce((sum, view) => sum + view.load / view.report.places, 0) / candidates.length
  const bound = loadBoundFactor * mean + 1 / candidates.length
  const order = rendezvousOrder(adapter, candidates.map(view => view.name))
  const byName = new Map(candidates.map(view => [view.name, view]))
  const fits = (name: string): boolean => {
    const view = byName.get(name)!
    return view.load / view.report.places <= bound * view.warmth(now)
  }
  const sorted = [...order.filter(fits), ...order.filter(name => !fits(name))]
  return new Map(sorted.map((name, rank) => [name, rank]))
}

function stallCost (view: UpstreamView, adapter: AdapterKey, isLoadedSomewhere: boolean, times: Estimates): Ms {
  switch (view.adapterState(adapter)) {
    case 'loaded': return 0
    case 'loading': return times.loadMs / 2
    // Every load waits for the shared weight store, behind the loads that wait at any upstream.
    case 'absent': return times.loadMs * (1 + times.backlog) * (isLoadedSomewhere ? extraReplicaFactor : 1)
  }
}

/** Whether the upstream would load a second copy of the adapter; a fuller batch there is no reason for that. */
function isExtraReplica (view: UpstreamView, adapter: AdapterKey, isLoadedSomewhere: boolean): boolean {
  return isLoadedSomewhere && view.adapterState(adapter) === 'absent'
}

/** Gain of joining a running batch with free batch slots, in ms of service time. */
function batchGain (view: UpstreamView, serviceMs: Ms): Ms {
  const { places } = view.report
  const room = places - view.load
  return room <= 0 ? 0 : Math.min(1, view.load / places) * serviceMs
}

/**
 * Chooses the upstream for a request.
 *
 * Upstreams that have the adapter loaded get its requests until the queue there costs more than a load elsewhere; in
 * this way a popular adapter gets a further replica. An adapter that is loaded nowhere goes to its rendezvous upstream,
 * which all entries compute alike without communicating, unless that upstream carries more than its share.
 *
 * @param query - the request
 * @param views - upstreams of its service
 * @param weights - from the configuration
 * @param now - time of the views' clock
 * @param random - uniform in [0, 1)
 * @returns the chosen upstream, or undefined when none accepts work
 */
export function chooseUpstream (query: RouteQuery, views: readonly UpstreamView[], weights: RouteWeights, now: Ms, random: () => number): UpstreamView | undefined {
  const candidates = candidatesOf(query, views, now)
  if (candidates.length === 0) return undefined
  if (query.affinityKey !== undefined) {
    const preferred = rendezvousOrder(query.affinityKey, candidates.map(view => view.name))[0]
    return candidates.find(view => view.name === preferred)
  }
  if (query.adapter === undefined) return lighterOfTwo(candidates, query, weights, now, random)

  const { adapter } = query
  const isLoadedSomewhere = candidates.some(view => view.adapterState(adapter) !== 'absent')
  const placement = placementOrder(adapter, candidates, now)
  const times = estimatesOf(candidates)
  let best: UpstreamView | undefined
  let least = Infinity
  for (const view of candidates) {
    const cost = weights.stall * stallCost(view, adapter, isLoadedSomewhere, times) +
      weights.queue * view.queueWait(times.serviceMs) / view.warmth(now) -
      weights.batch * (isExtraReplica(view, adapter, isLoadedSomewhere) ? 0 : batchGain(view, times.serviceMs)) +
      (view.zone === query.zone ? 0 : weights.zonePenalty) +
      (isLoadedSomewhere ? 0 : placement.get(view.name)! * times.loadMs) +
      // All entries see the same late reports. A little random noise keeps them from all choosing the same upstream
      // between two reports.
      random() * costTolerance
    if (cost >= least) continue
    best = view
    least = cost
  }
  return best
}
