/**
 * What is asked of one engine, and what is loaded first.
 */
import type { Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'

/** A model, or an adapter of it, in a version if one is declared. */
export interface RequestedAdapter {
  readonly model: string
  readonly adapter?: string
  readonly version?: number
}

/** How long and how urgently something is wanted. */
export interface DemandTerms {
  /** 0 is the most urgent. */
  readonly urgency: number
  /** When nobody will wait for it any more. */
  readonly until: Ms
  /** When the last event that somebody waits for is due; past it, all who wait are late. */
  readonly dueAt: Ms
}

/** Something that is waited for. */
export interface PendingAdapter extends DemandTerms { readonly want: RequestedAdapter, readonly since: Ms }

/** One step of priority outweighs this many times the requests. */
const urgencyFactor = 3
/** Time from the order of a load to the first event of a stream: the load itself and a prompt. */
const loadLeadTime: Ms = 400
/**
 * What an answer that comes late is worth to its caller, beside one in time. While slots are short, whoever can still be
 * in time goes first: in turn, all of them come late.
 */
const lateWeight = 0.3
/** Time in which a change of demand shows. */
const popularityHalfLife: Ms = 6_000
const popularityCapacity = 5_000

/** Names a model, or an adapter of it. */
export function requestedAdapterKey ({ model, adapter }: RequestedAdapter): string { return `${model}/${adapter ?? ''}` }

/** Counts what is asked for and keeps what waits. */
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

  /** A load that nobody waits for any more takes a slot from one that somebody does. */
  dropExpired (now: Ms): void {
    for (const [key, { until }] of this._pending) if (until <= now) this._pending.delete(key)
  }

  /**
   * Who is loaded first when the weight store can't feed all: what most requests wait for,
   * counted more the more urgent they are and the sooner it is of use. Each entry asks again
   * while it waits, so that what waits long gains weight too.
   */
  byPriority (now: Ms): readonly PendingAdapter[] {
    return [...this._pending.values()]
      .map(waiting => ({ waiting, weight: this._weight(waiting, now) }))
      .sort((a, b) => b.weight - a.weight || a.waiting.since - b.waiting.since)
      .map(({ waiting }) => waiting)
  }

  private _weight ({ want, urgency, dueAt }: PendingAdapter, now: Ms): number {
    const timeliness = now + loadLeadTime <= dueAt ? 1 : lateWeight
    return this.popularity(requestedAdapterKey(want), now) * urgencyFactor ** -urgency * timeliness
  }
}
