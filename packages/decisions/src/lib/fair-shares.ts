/**
 * Fair shares of an engine that is short, between organisations and between priorities.
 */
import type { Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'

/** A request for a share of the engine. */
export interface SharedRequest {
  /** Organisation that sends the request; undefined without one, and from an entry of a version that does not send it. */
  readonly organisation?: string
  /** Priority; 0 is the most urgent. */
  readonly urgency: number
  /** Latest time at which its first event is in time. */
  readonly dueAt: Ms
}

/** How requests are compared and charged. */
export interface ShareTerms<R extends SharedRequest> {
  readonly now: Ms
  /** What the request takes of the engine, in units of the caller's choice. */
  readonly cost: (request: R) => number
  /** Whether the request can't be in time any more. Such a request goes after those of its priority that can. */
  readonly isLate: (request: R) => boolean
}

/**
 * Share of the engine that requests of one priority get while more urgent ones wait: enough for some of them to succeed
 * and for their callers to see that the service runs.
 */
const minPriorityShare = 0.1
/**
 * Factor on a priority's share of the offered load, which bounds its minimum share: a priority with few requests must not
 * be served more often than a more urgent one.
 */
const offeredShareFactor = 0.5
/** Share of the engine beyond which an organisation's requests count as one step less urgent while others wait. */
const maxOrganisationShare = 0.5
/**
 * Half-life of what organisations were served: some times a caller's wait for a first event, so that an organisation that
 * sends a burst waits behind the others for seconds and not for longer.
 */
const servedHalfLife: Ms = 4_000
const totalKey = 'all'
const organisationsKept = 1_000
const levelsKept = 100

/** Requests of one priority, by organisation, the first of each list served last. */
type Level<R> = Map<string, R[]>

function organisationOf ({ organisation }: SharedRequest): string { return organisation ?? '' }

/** Number of organisations that send the requests. */
function countOrganisations (requests: readonly SharedRequest[]): number { return new Set(requests.map(organisationOf)).size }

/** What organisations and priorities have received, and what priorities are owed. */
class Ledger {
  constructor (private readonly _served: Map<string, number>, private readonly _owed: Map<number, number>) {}

  served (organisation: string): number { return this._served.get(organisation) ?? 0 }

  owed (urgency: number): number { return this._owed.get(urgency) ?? 0 }

  /**
   * Records that a request is served.
   *
   * @param minShares - minimum shares of the less urgent priorities that wait
   */
  record (organisation: string, urgency: number, cost: number, minShares: ReadonlyMap<number, number>): void {
    this._served.set(organisation, this.served(organisation) + cost)
    for (const [level, share] of minShares) if (level > urgency) this._owed.set(level, this.owed(level) + share * cost)
    this._owed.set(urgency, Math.max(0, this.owed(urgency) - cost))
  }
}

/**
 * Orders requests while an engine is short.
 *
 * Among requests of one priority the organisation that was served least lately goes first. Priorities are strict, with two
 * bounds: each gets a minimum share while more urgent requests wait, and an organisation that has taken more than half of
 * the engine loses one step of priority. Requests of one organisation, or of none, keep the order in which they are
 * passed.
 */
export class FairShares<R extends SharedRequest> {
  private readonly _served = new DecayedCounter(servedHalfLife, organisationsKept)
  private readonly _offered = new DecayedCounter(servedHalfLife, levelsKept)
  private readonly _owed = new Map<number, number>()
  /** What all organisations were served. */
  private readonly _total = new DecayedCounter(servedHalfLife, 1)

  /** Counts a request that arrives. */
  recordArrival ({ urgency }: R, cost: number, now: Ms): void { this._offered.add(String(urgency), now, cost) }

  /** Share of what was served while the engine was short that one organisation received, 0 to 1. */
  share (organisation: string | undefined, now: Ms): number {
    const served = this._served.read(organisation ?? '', now)
    return served === 0 ? 0 : served / this._total.read(totalKey, now)
  }

  /**
   * Orders requests by shares.
   *
   * @param requests - by priority, in time before late, in the order in which one organisation's are served
   */
  * order (requests: readonly R[], terms: ShareTerms<R>): Generator<R, void> {
    if (countOrganisations(requests) < 2) return yield * requests
    const levels = this._levels(requests, terms.now)
    const minShares = this._minShares([...levels.keys()], terms.now)
    const ledger = this._ledger(levels, terms.now)
    while (levels.size > 0) {
      const urgency = nextLevel(levels, ledger, terms)
      const request = takeNext(levels, urgency, ledger, terms)
      ledger.record(organisationOf(request), urgency, terms.cost(request), minShares)
      yield request
    }
  }

  /**
   * Records that a request is served while the engine is short.
   *
   * @param waiting - requests that waited, this one included
   */
  recordServed (request: R, waiting: readonly R[], { now, cost }: Pick<ShareTerms<R>, 'now' | 'cost'>): void {
    if (countOrganisations(waiting) < 2) return
    const organisation = organisationOf(request)
    const levels = new Set(waiting.map(each => this._effectiveUrgency(each, now)))
    if (this._owed.size > levelsKept) this._owed.clear()
    new Ledger(new Map(), this._owed).record(organisation, this._effectiveUrgency(request, now), cost(request), this._minShares([...levels], now))
    this._served.add(organisation, now, cost(request))
    this._total.add(totalKey, now, cost(request))
  }

  private _levels (requests: readonly R[], now: Ms): Map<number, Level<R>> {
    const levels = new Map<number, Level<R>>()
    for (const request of [...requests].reverse()) {
      const urgency = this._effectiveUrgency(request, now)
      const level: Level<R> = levels.get(urgency) ?? new Map()
      const organisation = organisationOf(request)
      const list = level.get(organisation) ?? []
      list.push(request)
      levels.set(urgency, level.set(organisation, list))
    }
    return levels
  }

  private _effectiveUrgency (request: R, now: Ms): number {
    return request.urgency + (this.share(request.organisation, now) > maxOrganisationShare ? 1 : 0)
  }

  private _minShares (levels: readonly number[], now: Ms): ReadonlyMap<number, number> {
    const offered = levels.map((urgency): [number, number] => [urgency, this._offered.read(String(urgency), now)])
    const all = offered.reduce((sum, [, each]) => sum + each, 0)
    return new Map(offered.map(([urgency, each]) => [urgency, Math.min(minPriorityShare, all === 0 ? Infinity : offeredShareFactor * each / all)]))
  }

  private _ledger (levels: ReadonlyMap<number, Level<R>>, now: Ms): Ledger {
    const organisations = new Set([...levels.values()].flatMap(level => [...level.keys()]))
    return new Ledger(new Map([...organisations].map(each => [each, this._served.read(each, now)])), new Map(this._owed))
  }
}

/** The priority that is served next: one that is owed what its next request takes, else the most urgent. */
function nextLevel<R extends SharedRequest> (levels: ReadonlyMap<number, Level<R>>, ledger: Ledger, terms: ShareTerms<R>): number {
  const sorted = [...levels.keys()].sort((a, b) => a - b)
  const owed = sorted.filter(urgency => ledger.owed(urgency) >= terms.cost(nextOf(levels.get(urgency)!, ledger, terms)))
  return owed.at(-1) ?? sorted[0]!
}

/** The next request of a priority: that of the organisation that was served least, of those that can be in time. */
function nextOf<R extends SharedRequest> (level: Level<R>, ledger: Ledger, { isLate }: ShareTerms<R>): R {
  const firsts = [...level].map(([organisation, list]) => {
    const first = list.at(-1)!
    return { first, late: Number(isLate(first)), served: ledger.served(organisation) }
  })
  firsts.sort((a, b) => a.late - b.late || a.served - b.served || a.first.dueAt - b.first.dueAt)
  return firsts[0]!.first
}

function takeNext<R extends SharedRequest> (levels: Map<number, Level<R>>, urgency: number, ledger: Ledger, terms: ShareTerms<R>): R {
  const level = levels.get(urgency)!
  const request = nextOf(level, ledger, terms)
  const organisation = organisationOf(request)
  const list = level.get(organisation)!
  list.pop()
  if (list.length === 0) level.delete(organisation)
  if (level.size === 0) levels.delete(urgency)
  return request
}
