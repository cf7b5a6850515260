/**
 * Demand for the adapters of one engine, and the order in which they are loaded.
 */
import type { Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'

/** A model, or an adapter of a model. `version` is set if a version is declared. */
export interface RequestedAdapter {
  readonly model: string
  readonly adapter?: string
  readonly version?: number
}

/** Priority and deadlines of the requests for an adapter. */
export interface DemandTerms {
  /** 0 is the most urgent. */
  readonly urgency: number
  /** Time at which the last of the waiting requests gives up. */
  readonly until: Ms
  /** Latest time at which the first event of a waiting request is due. After it, all waiting requests are late. */
  readonly dueAt: Ms
  /** Organisation that sends the request; undefined without one, and from an entry of a version that does not send it. */
  readonly organisation?: string
}

/** A requested adapter that is not loaded yet. */
export interface PendingAdapter extends Omit<DemandTerms, 'organisation'> {
  readonly want: RequestedAdapter
  readonly since: Ms
  /** Organisations whose requests wait for it; an empty name stands for requests without one. */
  readonly organisations: ReadonlySet<string>
}

/** An adapter whose requests are one step of priority more urgent weighs as much as one with this many times the requests. */
const urgencyFactor = 3
/** Time from a load order to the first event of a stream: the load and the reading of a prompt. */
const loadLeadTime: Ms = 400
/**
 * Value of a late answer to its caller, where an answer in time counts 1. While adapter slots are short, adapters whose
 * requests can still be answered in time are loaded first. Served by age alone, all requests would be late.
 */
const lateWeight = 0.3
/** Half-life of the request counts, so that the popularity follows a change of demand within seconds. */
const popularityHalfLife: Ms = 6_000
const popularityCapacity = 5_000
/** Half-life of the loads counted for each organisation: some times a caller's longest usual wait. */
const loadsHalfLife: Ms = 6_000
const organisationsCounted = 1_000
/**
 * Power of an organisation's multiple of the mean loads by which its adapters lose weight: an organisation with few requests
 * is then served as often as one with many, and less urgent requests still less often than urgent ones.
 */
const shareExponent = 3
/**
 * While organisations compete, one load of this many goes to the adapter that has waited longest, whatever its priority
 * and the number of its requests.
 */
const loadsPerOldest = 10

/** Key of a model, or of an adapter of it. */
export function requestedAdapterKey ({ model, adapter }: RequestedAdapter): string { return `${model}/${adapter ?? ''}` }

/** Whether a caller waits for the adapter; an adapter that is loaded ahead of need has no part in the shares. */
function isAwaited ({ dueAt }: PendingAdapter): boolean { return dueAt !== Infinity }

/** Counts the requests for each adapter and keeps the adapters that are pending. */
export class AdapterDemand {
  private readonly _pending = new Map<string, PendingAdapter>()
  private readonly _popularity = new DecayedCounter(popularityHalfLife, popularityCapacity)
  /** Loads for each organisation while several competed. */
  private readonly _loads = new DecayedCounter(loadsHalfLife, organisationsCounted)
  private _loadsSinceOldest = 0

  get size (): number { return this._pending.size }

  count (key: string, now: Ms): void { this._popularity.add(key, now) }

  popularity (key: string, now: Ms): number { return this._popularity.read(key, now) }

  isPending (key: string): boolean { return this._pending.has(key) }

  keys (): readonly string[] { return [...this._pending.keys()] }

  isModelPending (model: string): boolean { return [...this._pending.values()].some(({ want }) => want.model === model) }

  remove (key: string): void { this._pending.delete(key) }

  enqueue (want: RequestedAdapter, { urgency, until, dueAt, organisation = '' }: DemandTerms, now: Ms): void {
    const key = requestedAdapterKey(want)
    const earlier = this._pending.get(key)
    this._pending.set(key, {
      want,
      urgency: Math.min(urgency, earlier?.urgency ?? Infinity),
      since: earlier?.since ?? now,
      until: Math.max(until, earlier?.until ?? 0),
      dueAt: Math.max(dueAt, earlier?.dueAt ?? 0),
      organisations: new Set([...earlier?.organisations ?? [], organisation])
    })
  }

  /**
   * Drops adapters whose waiting requests have all given up. Loaded nevertheless, they would take slots from adapters
   * with waiting requests.
   *
   * @returns their keys
   */
  dropExpired (now: Ms): readonly string[] {
    const expired = [...this._pending].filter(([, { until }]) => until <= now).map(([key]) => key)
    for (const key of expired) this._pending.delete(key)
    return expired
  }

  /**
   * Pending adapters, the first to load first, for a weight store that can't serve all loads at once. Adapters with
   * more requests, more urgent requests and requests that can still be answered in time come first. A request that
   * waits is counted once, however often its entry asks. Between organisations, loads are shared: an organisation that
   * received more loads than others counts less, and one load in some goes to the adapter that has waited longest.
   */
  byPriority (now: Ms): readonly PendingAdapter[] {
    const shares = this._loadShares(now)
    const ordered = [...this._pending.values()]
      .map(pending => ({ pending, weight: this._weight(pending, shares, now) }))
      .sort((a, b) => b.weight - a.weight || a.pending.since - b.pending.since)
      .map(({ pending }) => pending)
    const oldest = shares === undefined || this._loadsSinceOldest < loadsPerOldest - 1 ? undefined : this._oldest()
    return oldest === undefined ? ordered : [oldest, ...ordered.filter(pending => pending !== oldest)]
  }

  /** Records that the load of an adapter has started. */
  recordLoad (key: string, now: Ms): void {
    const pending = this._pending.get(key)
    if (pending === undefined || this._organisations().size < 2) return
    this._loadsSinceOldest = pending === this._oldest() ? 0 : this._loadsSinceOldest + 1
    for (const organisation of pending.organisations) this._loads.add(organisation, now, 1 / pending.organisations.size)
  }

  /** Number of pending adapters that would be loaded before a further one, of those that `counts` selects. */
  countAhead (want: RequestedAdapter, { organisation = '', ...terms }: DemandTerms, now: Ms, counts: (key: string) => boolean): number {
    const shares = this._loadShares(now)
    const weight = this._weight({ want, ...terms, since: now, organisations: new Set([organisation]) }, shares, now)
    let ahead = 0
    for (const [key, pending] of this._pending) if (counts(key) && this._weight(pending, shares, now) >= weight) ahead++
    return ahead
  }

  private _oldest (): PendingAdapter | undefined {
    let oldest: PendingAdapter | undefined
    for (const pending of this._pending.values()) if (isAwaited(pending) && pending.since < (oldest?.since ?? Infinity)) oldest = pending
    return oldest
  }

  private _organisations (): ReadonlySet<string> { return new Set([...this._pending.values()].filter(isAwaited).flatMap(({ organisations }) => [...organisations])) }

  /** Loads of each organisation that waits, as multiples of their mean; undefined unless several organisations wait. */
  private _loadShares (now: Ms): ReadonlyMap<string, number> | undefined {
    const organisations = [...this._organisations()]
    if (organisations.length < 2) return undefined
    const loads = organisations.map(organisation => this._loads.read(organisation, now))
    const mean = loads.reduce((sum, each) => sum + each, 0) / loads.length
    return new Map(organisations.map((organisation, n) => [organisation, mean === 0 ? 0 : loads[n]! / mean]))
  }

  private _weight ({ want, urgency, dueAt, organisations }: PendingAdapter, shares: ReadonlyMap<string, number> | undefined, now: Ms): number {
    const timeliness = now + loadLeadTime <= dueAt ? 1 : lateWeight
    const share = shares === undefined ? 1 : Math.min(...[...organisations].map(organisation => shares.get(organisation) ?? 0))
    return this.popularity(requestedAdapterKey(want), now) * urgencyFactor ** -urgency * timeliness / Math.max(1, share) ** shareExponent
  }
}
