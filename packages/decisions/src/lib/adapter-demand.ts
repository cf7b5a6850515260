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
}

/** A requested adapter that is not loaded yet. */
export interface PendingAdapter extends DemandTerms { readonly want: RequestedAdapter, readonly since: Ms }

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

/** Key of a model, or of an adapter of it. */
export function requestedAdapterKey ({ model, adapter }: RequestedAdapter): string { return `${model}/${adapter ?? ''}` }

/** Counts the requests for each adapter and keeps the adapters that are pending. */
export class AdapterDemand {
  private readonly _pending = new Map<string, PendingAdapter>()
  private readonly _popularity = new DecayedCounter(popularityHalfLife, popularityCapacity)

  get size (): number { return this._pending.size }

  count (key: string, now: Ms): void { this._popularity.add(key, now) }

  popularity (key: string, now: Ms): number { return this._popularity.read(key, now) }

  isPending (key: string): boolean { return this._pending.has(key) }

  keys (): readonly string[] { return [...this._pending.keys()] }

  isModelPending (model: string): boolean { return [...this._pending.values()].some(({ want }) => want.model === model) }

  remove (key: string): void { this._pending.delete(key) }

  enqueue (want: RequestedAdapter, { urgency, until, dueAt }: DemandTerms, now: Ms): void {
    const key = requestedAdapterKey(want)
    const earlier = this._pending.get(key)
    this._pending.set(key, {
      want,
      urgency: Math.min(urgency, earlier?.urgency ?? Infinity),
      since: earlier?.since ?? now,
      until: Math.max(until, earlier?.until ?? 0),
      dueAt: Math.max(dueAt, earlier?.dueAt ?? 0)
    })
  }

  /**
   * Drops adapters whose waiting requests have all given up. Loaded nevertheless, they would take slots from adapters
   * with waiting requests.
   */
  dropExpired (now: Ms): void {
    for (const [key, { until }] of this._pending) if (until <= now) this._pending.delete(key)
  }

  /**
   * Pending adapters, the first to load first, for a weight store that can't serve all loads at once. Adapters with
   * more requests, more urgent requests and requests that can still be answered in time come first. A request that
   * waits is counted once, however often its entry asks.
   */
  byPriority (now: Ms): readonly PendingAdapter[] {
    return [...this._pending.values()]
      .map(pending => ({ pending, weight: this._weight(pending, now) }))
      .sort((a, b) => b.weight - a.weight || a.pending.since - b.pending.since)
      .map(({ pending }) => pending)
  }

  private _weight ({ want, urgency, dueAt }: PendingAdapter, now: Ms): number {
    const timeliness = now + loadLeadTime <= dueAt ? 1 : lateWeight
    return this.popularity(requestedAdapterKey(want), now) * urgencyFactor ** -urgency * timeliness
  }
}
