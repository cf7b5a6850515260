/**
 * Runs one policy on one list of arrivals and measures the results.
 */
import type { TrafficClass } from '@hazelford/core'
import { Random } from '../random.js'
import type { Arrival, Conditions, Deployment } from './deployment.js'
import { EventQueue } from './event-queue.js'
import type { CreatePolicy } from './policy.js'
import { SimStore } from './sim-store.js'

/** Mean and percentiles in ms. */
export interface Stats { readonly mean: number, readonly p50: number, readonly p95: number, readonly p99: number }

/** Measured results of an experiment. */
export interface Outcome {
  readonly stalledSeconds: number
  readonly stall: Stats
  readonly firstToken: Readonly<Record<TrafficClass, Stats>>
  /** Stalled seconds of the requests that arrive in each 10 s of the run. */
  readonly stallSeries: readonly number[]
  readonly batchEfficiency: number
  readonly tokensPerBusySecond: number
  readonly finished: number
  readonly arrived: number
  readonly refused: number
  readonly refusedByClass: Readonly<Record<TrafficClass, number>>
  readonly retried: number
  readonly loads: number
  /** Loads of an adapter that was evicted less than 10 s before. */
  readonly reloads: number
}

/** Requests that arrive before this time are not counted, because every engine starts empty. */
export const warmUpMs = 60_000
const tailMs = 40_000
const reloadWithinMs = 10_000
const seriesMs = 10_000

/** Computes the mean and percentiles of a list. */
export function statsOf (values: readonly number[]): Stats {
  const sorted = [...values].sort((a, b) => a - b)
  const at = (share: number): number => sorted.length === 0 ? 0 : sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!
  return { mean: sorted.reduce((sum, value) => sum + value, 0) / Math.max(1, sorted.length), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

function byClass<T> (make: (trafficClass: TrafficClass) => T): Readonly<Record<TrafficClass, T>> {
  return { receipt: make('receipt'), booking: make('booking'), interactive: make('interactive'), draft: make('draft') }
}

/** Records what happens to each request. */
class Recorder {
  private readonly _arrivals: ReadonlyMap<string, Arrival>
  private readonly _ready = new Map<string, number>()
  private readonly _first = new Map<string, number>()
  private readonly _refused: Arrival[] = []
  private readonly _evictedAt = new Map<string, number>()
  private _finished = 0
  retried = 0
  loads = 0
  reloads = 0

  constructor (private readonly _list: readonly Arrival[], private readonly _queue: EventQueue) {
    this._arrivals = new Map(_list.map(arrival => [arrival.id, arrival]))
  }

  ready (id: string): void { if (!this._ready.has(id)) this._ready.set(id, this._queue.now) }
  firstToken (id: string): void { if (!this._first.has(id)) this._first.set(id, this._queue.now) }
  finished (): void { this._finished++ }
  refused (id: string): void { this._refused.push(this._arrivals.get(id)!) }
  evicted (adapter: string): void { this._evictedAt.set(adapter, this._queue.now) }

  loaded (adapter: string): void {
    this.loads++
    if (this._queue.now - (this._evictedAt.get(adapter) ?? -Infinity) < reloadWithinMs) this.reloads++
  }

  /** Computes the results; a request whose adapter never became ready counts as stalled until its deadline. */
  outcome (fill: { readonly filledMs: number, readonly busyMs: number, readonly tokens: number }, places: number): Outcome {
    const stallOf = (arrival: Arrival): number => (this._ready.get(arrival.id) ?? arrival.deadline) - arrival.at
    const counted = this._list.filter(arrival => arrival.at >= warmUpMs)
    const stalls = counted.map(stallOf)
    const series: number[] = []
    for (const arrival of this._list) {
      const step = Math.floor(arrival.at / seriesMs)
      series[step] = (series[step] ?? 0) + stallOf(arrival) / 1_000
    }
    return {
      stalledSeconds: stalls.reduce((sum, stall) => sum + stall, 0) / 1_000,
      stall: statsOf(stalls),
      stallSeries: Array.from(series, value => value ?? 0),
      firstToken: byClass(trafficClass => statsOf(counted
        .filter(arrival => arrival.trafficClass === trafficClass && this._first.has(arrival.id))
        .map(arrival => this._first.get(arrival.id)! - arrival.at))),
      batchEfficiency: fill.filledMs / Math.max(1, fill.busyMs * places),
      tokensPerBusySecond: fill.tokens / Math.max(1, fill.busyMs / 1_000),
      finished: this._finished,
      arrived: this._list.length,
      refused: this._refused.length,
      refusedByClass: byClass(trafficClass => this._refused.filter(arrival => arrival.trafficClass === trafficClass).length),
      retried: this.retried,
      loads: this.loads,
      reloads: this.reloads
    }
  }
}

/**
 * Runs an experiment.
 *
 * @param create - creates the policy
 * @param deployment - sizes and rates
 * @param conditions - faults, load and seed
 * @param arrivals - the same list for every policy
 */
export function runExperiment (create: CreatePolicy, deployment: Deployment, conditions: Conditions, arrivals: readonly Arrival[]): Outcome {
  const queue = new EventQueue()
  const recorder = new Recorder(arrivals, queue)
  const loadMs = deployment.fullSpeed * 1_000 / deployment.loadsPerSecond * (conditions.storeSlowness ?? 1)
  const policy = create({
    deployment,
    conditions,
    queue,
    store: new SimStore(queue, deployment.fullSpeed, loadMs),
    random: new Random(conditions.seed + 1),
    events: {
      ready: id => recorder.ready(id),
      firstToken: id => recorder.firstToken(id),
      finished: () => recorder.finished(),
      refused: id => recorder.refused(id),
      retried: () => { recorder.retried++ },
      loaded: adapter => recorder.loaded(adapter),
      evicted: adapter => recorder.evicted(adapter)
    }
  })
  for (const arrival of arrivals) queue.after(arrival.at, () => policy.arrive(arrival))
  if (conditions.restartAt !== undefined) queue.after(conditions.restartAt * 1_000, () => policy.restartEngine())
  queue.runUntil(conditions.seconds * 1_000 + tailMs)
  return recorder.outcome(policy.fill(), deployment.places)
}
