/**
 * Computes a lower bound with knowledge of all future arrivals, to show how far each policy is from the optimum.
 */
import type { Arrival, Deployment } from './deployment.js'
import { warmUpMs } from './experiment.js'

/** Values that no policy can improve on. */
export interface Bound {
  readonly loads: number
  readonly stalledSeconds: number
  /** Share of batch slots filled while busy. */
  readonly batchEfficiency: number
}

/** Index of the next arrival for the same adapter, for each arrival. */
function nextUses (arrivals: readonly Arrival[]): readonly number[] {
  const next = new Array<number>(arrivals.length).fill(Infinity)
  const seen = new Map<string, number>()
  for (let i = arrivals.length - 1; i >= 0; i--) {
    next[i] = seen.get(arrivals[i]!.adapter) ?? Infinity
    seen.set(arrivals[i]!.adapter, i)
  }
  return next
}

/** Misses of Belady's algorithm with the adapter slots of all engines pooled as one cache. */
function beladyMisses (arrivals: readonly Arrival[], slots: number): readonly Arrival[] {
  const next = nextUses(arrivals)
  const cache = new Map<string, number>()
  const misses: Arrival[] = []
  for (const [i, arrival] of arrivals.entries()) {
    if (!cache.has(arrival.adapter)) {
      misses.push(arrival)
      if (cache.size >= slots) {
        let furthest = ''
        let at = -1
        for (const [adapter, use] of cache) {
          if (use <= at) continue
          furthest = adapter
          at = use
        }
        cache.delete(furthest)
      }
    }
    cache.set(arrival.adapter, next[i]!)
  }
  return misses
}

/**
 * Computes the lower bound.
 *
 * Every simplification loosens the bound: one pooled cache, requests that pin no adapter slot,
 * a weight store that is never idle, and loads before they are needed. A miss can't be ready before
 * the store has served all misses due before it. The batch bound packs the requests of each moment
 * into as few engines as have batch slots for them. A policy that refuses requests saves their loads
 * and can have fewer stalls than the bound.
 *
 * @param arrivals - all arrivals of the experiment
 * @param deployment - slots and rates
 * @param storeSlowness - factor by which loads take longer
 */
export function lowerBound (arrivals: readonly Arrival[], deployment: Deployment, storeSlowness: number): Bound {
  const misses = beladyMisses(arrivals, deployment.slots * deployment.engines)
  const gap = 1_000 / deployment.loadsPerSecond * storeSlowness
  const stalled = misses.reduce((sum, miss, i) => miss.at < warmUpMs ? sum : sum + Math.min(miss.deadline - miss.at, Math.max(0, (i + 1) * gap - miss.at)), 0)
  return { loads: misses.length, stalledSeconds: stalled / 1_000, batchEfficiency: packedEfficiency(arrivals, deployment) }
}

/** Batch efficiency when concurrent requests are packed, each taking the step time of a full batch for every token. */
function packedEfficiency (arrivals: readonly Arrival[], deployment: Deployment): number {
  const { places, stepMs, stepMsPerSequence } = deployment
  const step = stepMs + stepMsPerSequence * (places - 1)
  const edges = arrivals.flatMap(({ at, tokens }) => [{ at, by: 1 }, { at: at + tokens * step, by: -1 }]).sort((a, b) => a.at - b.at)
  let open = 0
  let last = 0
  let filled = 0
  let offered = 0
  for (const { at, by } of edges) {
    filled += open * (at - last)
    offered += Math.ceil(open / places) * places * (at - last)
    open += by
    last = at
  }
  return offered === 0 ? 0 : filled / offered
}
