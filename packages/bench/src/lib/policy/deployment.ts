/**
 * The two deployments of the brief, and the arrivals they see.
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
  readonly places: number
  /** Ms of a decode step with one sequence, and what each further one adds. */
  readonly stepMs: number
  readonly stepMsPerSequence: number
  /** Loads a second, and how many run at full speed at once. */
  readonly loadsPerSecond: number
  readonly fullSpeed: number
  readonly zipfExponent: number
  readonly meanTokens: number
  /** Share of drafts; of the rest a fifth are receipts. */
  readonly draftShare: number
  /** Requests a second that count as full load: what store and engines sustain. */
  readonly capacity: number
  readonly weights: { readonly stall: number, readonly queue: number, readonly batch: number, readonly zonePenalty: number }
  readonly draftLinger: number
}

/** Vozíkom Spolu: stalls weigh more. */
export const vozikom: Deployment = {
  name: 'Vozíkom Spolu', entries: 4, engines: 6, adapters: 3_000, slots: 16, places: 8, stepMs: 28, stepMsPerSequence: 0.7, loadsPerSecond: 4, fullSpeed: 1, zipfExponent: 1.1, meanTokens: 90, draftShare: 0.4, capacity: 11, weights: { stall: 1, queue: 1, batch: 0.1, zonePenalty: 2 }, draftLinger: 0
}

/** Kalgoorlie Kids Clubs: batch efficiency weighs more, drafts may wait. */
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

/** What an experiment runs under. */
export interface Conditions {
  /** Share of the capacity. */
  readonly load: number
  readonly seconds: number
  readonly seed: number
  /** Popularity is dealt anew at this second. */
  readonly shiftAt?: number
  /** An engine loses everything at this second. */
  readonly restartAt?: number
  /** Multiplies the time of a load. */
  readonly storeSlowness?: number
  /** Share of loads that fail. */
  readonly failShare?: number
  /** Ms between reports to entries. */
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
 * Draws arrivals: Poisson in time, Zipf in adapters, exponential in length.
 *
 * @param deployment - rates and mix
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
    // After the shift the ranks fall on other adapters: a new hot set, the same skew.
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
