/**
 * Finds the part of prompts under which upstreams terminate.
 */
import type { Ms } from '@hazelford/core'
import { evictOldest } from './evict-oldest.js'
import type { QuarantineLimits } from './request-quarantine.js'
import { countMoments } from './termination-moments.js'

/** Requests that were lost in one termination of an upstream, by the parts of their prompts. */
export interface PartTermination {
  readonly upstream: string
  readonly at: Ms
  readonly parts: ReadonlyMap<string, LostRequests>
}

/** Requests with one part that were lost in one termination. */
export interface LostRequests {
  /** Their digests. */
  readonly requests: readonly string[]
  /** Whether the part is the first of the prompt of any of them. */
  readonly isFirst: boolean
}

/** A termination as far as it is known; reports of several entries are merged. */
interface Termination {
  readonly upstream: string
  readonly at: Ms
  readonly parts: Map<string, { readonly requests: Set<string>, isFirst: boolean }>
}

/** A part and the terminations of which it may be the cause. */
export interface PartEvidence {
  readonly part: string
  readonly upstreams: readonly string[]
  /** Time of the first of these terminations. */
  readonly since: Ms
  /** Requests with the part that were lost, summed over the terminations. */
  readonly lost: number
}

/** Terminations of one upstream that are closer to each other count as one: several entries report it. */
const sameTerminationWithin: Ms = 1_000
/** Number of moments over which the terminations must be spread. */
const minMoments = 3
/** Different requests that must have been lost: a harmless request can be sent from one terminating upstream to the next. */
const minRequests = 2
/**
 * Lost requests for each termination, on average, above which a part counts as common, as does the first part of prompts.
 * A common part is at nearly every upstream: it takes more terminations to suspect it, and they count only once they are
 * so old that an answer could have cleared it since.
 */
const commonFrom = 3
const commonFactor = 2
const clearableAfter: Ms = 700
/** Terminations from which a part may take part in an explanation, though it may be too early to quarantine it. */
const minShared = 2
/** Costs of an explanation: of each termination that it leaves open and of each part, compared with each lost request that it blames. */
const unexplainedCost = 10
const partCost = 8
/** Bounds on memory: terminations, parts of each, requests of each part, and parts that were answered. */
const maxTerminations = 200
const maxPartsOfTermination = 200
const maxRequestsOfPart = 8
const maxAnswered = 2_000
/** Most parts whose combinations are compared. */
const maxSuspects = 60

/** A part with the terminations of which it may be the cause. */
interface PartSuspect {
  readonly part: string
  readonly terminations: readonly Termination[]
  /** Number of different requests with the part that were lost. */
  readonly requests: number
  /** Requests with the part that were lost, summed over the terminations. */
  readonly lost: number
  readonly isCommon: boolean
}

/** Cost of explaining terminations by some parts; `open`: number of terminations to be explained. */
function costOf (parts: readonly PartSuspect[], open: number): number {
  const explained = new Set(parts.flatMap(({ terminations }) => terminations))
  const blamed = parts.reduce((sum, { lost }) => sum + lost, 0)
  return blamed + partCost * parts.length + unexplainedCost * (open - explained.size)
}

/**
 * Collects, for each part, the terminations at which requests with it were lost, and the answers that clear it.
 *
 * A part that terminates upstreams is in a lost request at each of their terminations, and no answer to a request with it
 * gets beyond its beginning. Other parts of lost requests are there by chance: requests with them are answered at other
 * upstreams meanwhile. An answer clears a part of the terminations before it began, and of no later ones, since a part
 * may become harmful at any time.
 */
export class PartSuspicion {
  private _terminations: Termination[] = []
  /** For each part, when the newest answer began that clears it. */
  private readonly _answered = new Map<string, Ms>()

  /**
   * @param _limits - number of terminations from which a part is a candidate, and how long terminations and answers count
   * @param _isQuarantined - whether a part is quarantined; terminations at which a request with it was lost are explained by it
   */
  constructor (private _limits: QuarantineLimits, private readonly _isQuarantined: (part: string) => boolean) {}

  limit (limits: QuarantineLimits): void { this._limits = limits }

  /** Records a termination, or what a further entry reports of it. */
  recordTermination ({ upstream, at, parts }: PartTermination, now: Ms): void {
    this._terminations = this._terminations.filter(known => now - known.at < this._limits.holdTime).slice(-maxTerminations)
    const known = this._terminations.find(other => other.upstream === upstream && Math.abs(other.at - at) < sameTerminationWithin)
    const termination: Termination = known ?? { upstream, at, parts: new Map() }
    if (known === undefined) this._terminations.push(termination)
    for (const [part, { requests, isFirst }] of parts) {
      if (termination.parts.size >= maxPartsOfTermination && !termination.parts.has(part)) continue
      const lost = termination.parts.get(part) ?? { requests: new Set(), isFirst: false }
      termination.parts.set(part, lost)
      lost.isFirst ||= isFirst
      for (const request of requests) if (lost.requests.size < maxRequestsOfPart) lost.requests.add(request)
    }
  }

  /**
   * Records that an upstream went on running after it had begun an answer to a request with a part.
   *
   * @param since - when the answer began
   */
  recordAnswered (part: string, since: Ms): void {
    const at = Math.max(since, this._answered.get(part) ?? -Infinity)
    this._answered.delete(part)
    this._answered.set(part, at)
    evictOldest(this._answered, maxAnswered)
  }

  /** When the newest answer began that clears a part; undefined when there was none lately. */
  answeredSince (part: string, now: Ms): Ms | undefined {
    const at = this._answered.get(part)
    return at !== undefined && now - at < this._limits.holdTime ? at : undefined
  }

  /** Parts that may be the cause of so many terminations that they should be quarantined, unless other entries clear them. */
  candidates (now: Ms): readonly string[] {
    return this._suspects(now).filter(suspect => this._isRipe(suspect, now)).map(({ part }) => part)
  }

  /**
   * The parts to be quarantined: those of the smallest explanation of the terminations by one or two parts that are at
   * enough of them. A part that is in most requests explains every termination, but blames many lost requests; it takes
   * part once it could be quarantined itself.
   */
  likeliest (now: Ms): readonly PartEvidence[] {
    const suspects = this._suspects(now).filter(suspect => !suspect.isCommon || this._isRipe(suspect, now)).sort((a, b) => b.terminations.length - a.terminations.length).slice(0, maxSuspects)
    const open = new Set(suspects.flatMap(({ terminations }) => terminations))
    let best: { readonly parts: readonly PartSuspect[], readonly cost: number } = { parts: [], cost: unexplainedCost * open.size }
    for (const [n, first] of suspects.entries()) {
      for (const parts of [[first], ...suspects.slice(n + 1).map(second => [first, second])]) {
        const cost = costOf(parts, open.size)
        if (cost < best.cost) best = { parts, cost }
      }
    }
    return best.parts.filter(suspect => this._isRipe(suspect, now)).map(({ part, terminations, lost }) => ({
      part,
      upstreams: terminations.map(({ upstream }) => upstream),
      since: Math.min(...terminations.map(({ at }) => at)),
      lost
    }))
  }

  /** Parts at several terminations that no quarantined part explains and no answer has cleared them of. */
  private _suspects (now: Ms): readonly PartSuspect[] {
    const open = this._terminations.filter(({ at, parts }) => now - at < this._limits.holdTime && ![...parts.keys()].some(part => this._isQuarantined(part)))
    const parts = new Set(open.flatMap(termination => [...termination.parts.keys()]))
    return [...parts].map(part => this._suspect(part, open)).filter(({ terminations }) => terminations.length >= minShared)
  }

  private _suspect (part: string, open: readonly Termination[]): PartSuspect {
    const clearedUntil = this._answered.get(part) ?? -Infinity
    const terminations = open.filter(({ at, parts }) => at > clearedUntil && parts.has(part))
    const lost = terminations.map(({ parts }) => parts.get(part)!)
    const requests = lost.flatMap(each => [...each.requests])
    const isCommon = requests.length > commonFrom * terminations.length || lost.some(({ isFirst }) => isFirst)
    return { part, terminations, requests: new Set(requests).size, lost: requests.length, isCommon }
  }

  private _isRipe ({ terminations, requests, isCommon }: PartSuspect, now: Ms): boolean {
    const needed = isCommon ? commonFactor * this._limits.after : this._limits.after
    const counted = isCommon ? terminations.filter(({ at }) => now - at >= clearableAfter) : terminations
    return counted.length >= needed && requests >= minRequests && countMoments(counted.map(({ at }) => at)) >= minMoments
  }
}
