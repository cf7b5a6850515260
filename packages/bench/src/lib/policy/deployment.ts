/**
 * The two simulated deployments and their arrivals.
 */
import type { TrafficClass } from '@hazelford/core'
import { Random, zipf } from '../random.js'

/** Sizes and weights of a deployment. */
export interface Deployment {
  readonly name: string
  readonly entries: number
  readonly engines: number
  readonly adapters: number
  readonly slots: number
  /** Batch slots of an engine. */
  readonly places: number
  /** Duration in ms of a decode step with one sequence, and the ms that each further sequence adds. */
  readonly stepMs: number
  readonly stepMsPerSequence: number
  /** Loads that the weight store serves in a second, and loads that run at full speed concurrently. */
  readonly loadsPerSecond: number
  readonly fullSpeed: number
  readonly zipfExponent: number
  readonly meanTokens: number
  /** Share of drafts; a fifth of the other requests are receipts. */
  readonly draftShare: number
  /** Requests a second that count as full load: the most that the store and the engines sustain. */
  readonly capacity: number
  readonly weights: { readonly stall: number, readonly queue: number, readonly batch: number, readonly zonePenalty: number }
  readonly draftLinger: number
}

/** Vozíkom Spolu: gives stalls more weight. */
export const vozikom: Deployment = {
  name: 'Vozíkom Spolu', entries: 4, engines: 6, adapters: 3_000, slots: 16, places: 8, stepMs: 28, stepMsPerSequence: 0.7, loadsPerSecond: 4, fullSpeed: 1, zipfExponent: 1.1, meanTokens: 90, draftShare: 0.4, capacity: 11, weights: { stall: 1, queue: 1, batch: 0.1, zonePenalty: 2 }, draftLinger: 0
}

/** Kalgoorlie Kids Clubs: gives batch efficiency more weight, and drafts may wait. */
export const kalgoorlie: Deployment = {
  name: 'Kalgoorlie Kids Clubs', entries: 3, engines: 13, adapters: 3_000, slots: 16, places: 8, stepMs: 28, stepMsPerSequence: 0.7, loadsPerSecond: 6, fullSpeed: 2, zipfExponent: 1.1, meanTokens: 90, draftShare: 0.6, capacity: 18, weights: { stall: 1, queue: 1, batch: 1, zonePenalty: 2 }, draftLinger: 250
}

/** One request of an experiment. */
export interface Arrival {
  readonly id: string
  readonly at: number
  readonly adapter: string
  readonly tokens: number
  readonly trafficClass: TrafficClass
  readonly deadline: number
}

/** Load and faults of an experiment. */
export interface Conditions {
  /** Load as a share of the capacity. */
  readonly load: number
  readonly seconds: number
  readonly seed: number
  /** Second at which the popularity ranks move to other adapters. */
  readonly shiftAt?: number
  /** Second at which an engine restarts without adapters and requests. */
  readonly restartAt?: number
  /** Factor by which loads take longer. */
  readonly storeSlowness?: number
  /** Share of loads that fail. */
  readonly failShare?: number
  /** Interval in ms between reports to entries. */
  readonly reportMs?: number
  /** The key-value service is down for the whole run. */
  readonly kvDown?: boolean
}

const deadlineMs = 30_000
const receiptShare = 0.2
const minTokens = 8

function classOf (random: Random, draftShare: number): TrafficClass {
  if (random.unit() < draftShare) return 'draft'
  return random.unit() < receiptShare ? 'receipt' : 'interactive'
}

/**
 * Draws random arrivals: Poisson-distributed in time, Zipf-distributed over adapters, exponentially distributed in length.
 *
 * @param deployment - rates and traffic mix
 * @param conditions - load, length and seed
 */
export function drawArrivals (deployment: Deployment, conditions: Conditions): readonly Arrival[] {
  const random = new Random(conditions.seed)
  const rank = zipf(deployment.adapters, deployment.zipfExponent)
  const meanGap = 1_000 / (deployment.capacity * conditions.load)
  const end = conditions.seconds * 1_000
  const shift = (conditions.shiftAt ?? Infinity) * 1_000
  const arrivals: Arrival[] = []
  for (let at = random.exponential(meanGap); at < end; at += random.exponential(meanGap)) {
    const drawn = rank(random)
    // After the shift the ranks belong to other adapters: a new hot set with the same skew.
    const adapter = at < shift ? drawn : (drawn + deployment.adapters / 2) % deployment.adapters
    arrivals.push({
      id: `r${arrivals.length}`,
      at,
      adapter: `a${adapter}@1`,
      tokens: minTokens + Math.round(random.exponential(deployment.meanTokens - minTokens)),
      trafficClass: classOf(random, deployment.draftShare),
      deadline: at + deadlineMs
    })
  }
  return arrivals
}
