/**
 * A lower bound that knows the future, so that the distance to the limit is visible.
 */
import type { Arrival, Deployment } from './deployment.js'
import { warmUpMs } from './experiment.js'

/** What no policy can beat. */
export interface Bound {
  readonly loads: number
  readonly stalledSeconds: number
  /** Share of places filled while busy. */
  readonly batchEfficiency: number
}

/** Next use of the same adapter after each arrival. */
function nextUses (arrivals: readonly Arrival[]): readonly number[] {
  const next = new Array<number>(arrivals.length).fill(Infinity)
  const seen = new Map<string, number>()
  for (let i = arrivals.length - 1; i >= 0; i--) {
    next[i] = seen.get(arrivals[i]!.adapter) ?? Infinity
    seen.set(arrivals[i]!.adapter, i)
  }
  return next
}

/** Misses of Belady's rule with all slots of all engines as one cache. */
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
 * Computes the bound.
 *
 * Every relaxation helps the bound: one pooled cache, requests that hold no slot, a
 * store that is never idle and loads before they are needed. A miss can't be ready
 * before the store has served all misses due before it. The batch bound packs each
 * moment's requests into as few engines as there are places for. A policy that refuses
 * requests spares their loads and can come under the bound on stalls.
 *
 * @param arrivals - all of them
 * @param deployment - slots and rates
 * @param storeSlowness - multiplies the time of a load
 */
export function lowerBound (arrivals: readonly Arrival[], deployment: Deployment, storeSlowness: number): Bound {
  const misses = beladyMisses(arrivals, deployment.slots * deployment.engines)
  const gap = 1_000 / deployment.loadsPerSecond * storeSlowness
  const stalled = misses.reduce((sum, miss, i) => miss.at < warmUpMs ? sum : sum + Math.min(miss.deadline - miss.at, Math.max(0, (i + 1) * gap - miss.at)), 0)
  return { loads: misses.length, stalledSeconds: stalled / 1_000, batchEfficiency: packedEfficiency(arrivals, deployment) }
}

/** Requests open at once, each for its tokens at the step time of a full batch, packed. */
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
