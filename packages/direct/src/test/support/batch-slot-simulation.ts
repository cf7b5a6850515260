/**
 * Simulates streams from many entries on engines with few batch slots each, in virtual time, with the real placement decisions.
 */
import type { Ms } from '@hazelford/core'
import { BatchSlots, rankCandidates, rendezvousOrder } from '@hazelford/decisions'
import { type LoadDigest, pickDigests } from '../../lib/load-digest.js'
import { seededRandom } from './seeded-random.js'

/** The simulated traffic. */
export interface BatchSlotWorkload {
  readonly entries: number
  readonly engines: number
  /** Requests that an engine runs at once. */
  readonly places: number
  /** Streams a second over all entries. */
  readonly rate: number
  /** Mean time in ms that a stream occupies its batch slot. */
  readonly serviceTime: Ms
  readonly length: Ms
  /** A stream is late when its first event comes later than this after its request. */
  readonly target: Ms
  readonly seed: number
  /** Entries know only their own streams and send at once; otherwise holders grant batch slots. */
  readonly knowsOwnOnly: boolean
}

/** What callers experience. */
export interface BatchSlotResult {
  /** Share of the streams that began in time. */
  readonly inTime: number
  /** Streams that wait while a batch slot is free at another engine: mean over time. */
  readonly avoidableWaits: number
}

const step: Ms = 5
/** Time from getting a batch slot to the first event. */
const firstEvent: Ms = 80
const adapters = 2_000
/** An engine with a longer expected wait than this is skipped; the entry asks the next candidate. */
const maxExpectedWait: Ms = 250
const maxCandidatesAsked = 3

interface Stream { readonly since: Ms, until: Ms, readonly entry: string }
interface Engine { readonly id: string, readonly holder: number, readonly batchSlots: BatchSlots, running: Stream[], waiting: Stream[] }
type Known = Map<string, { readonly running: number, readonly at: Ms }>

class BatchSlotSimulation {
  private readonly _random: () => number
  private readonly _engines: readonly Engine[]
  /** Load of engines as each entry last received it. */
  private readonly _known: readonly Known[]
  private readonly _ownStreams: readonly Map<string, number>[]
  private readonly _ranks = new Map<number, ReadonlyMap<string, number>>()
  private _now: Ms = 0
  private _inTimeCount = 0
  private _startedCount = 0
  private _avoidableWaitSum = 0

  constructor (private readonly _workload: BatchSlotWorkload) {
    this._random = seededRandom(_workload.seed)
    this._engines = Array.from({ length: _workload.engines }, (_, n) => ({ id: `i-${n}`, holder: n % _workload.entries, batchSlots: new BatchSlots(_workload.places), running: [], waiting: [] }))
    this._known = Array.from({ length: _workload.entries }, () => new Map())
    this._ownStreams = Array.from({ length: _workload.entries }, () => new Map())
  }

  run (): BatchSlotResult {
    let steps = 0
    for (; this._now < this._workload.length; this._now += step, steps++) {
      for (const engine of this._engines) this._stepEngine(engine)
      const expected = this._workload.rate * step / 1_000
      for (let n = Math.floor(expected + this._random()); n > 0; n--) this._arriveStream()
      const waiting = this._engines.reduce((sum, engine) => sum + engine.waiting.length, 0)
      const free = this._engines.reduce((sum, { running }) => sum + this._workload.places - running.length, 0)
      this._avoidableWaitSum += Math.min(waiting, free)
    }
    return { inTime: this._inTimeCount / this._startedCount, avoidableWaits: this._avoidableWaitSum / steps }
  }

  private _stepEngine (engine: Engine): void {
    const ended = engine.running.filter(({ until }) => until <= this._now)
    for (const { entry } of ended) this._endStream(engine, entry)
    engine.running = engine.running.filter(({ until }) => until > this._now)
    while (engine.waiting.length > 0 && engine.running.length < this._workload.places) this._startStream(engine, engine.waiting.shift()!)
  }

  private _startStream (engine: Engine, stream: Stream): void {
    // Service times vary between half and one and a half times the mean, as output lengths do.
    stream.until = this._now + this._workload.serviceTime * (0.5 + this._random())
    engine.running.push(stream)
    this._startedCount++
    if (this._now + firstEvent - stream.since <= this._workload.target) this._inTimeCount++
  }

  private _endStream (engine: Engine, entry: string): void {
    const own = this._ownStreams[Number(entry)]!
    own.set(engine.id, (own.get(engine.id) ?? 1) - 1)
    engine.batchSlots.recordReport(entry, own.get(engine.id)!, this._now)
  }

  private _arriveStream (): void {
    const entry = Math.floor(this._random() * this._workload.entries)
    const stream: Stream = { since: this._now, until: 0, entry: String(entry) }
    const engine = this._choose(entry)
    const own = this._ownStreams[entry]!
    own.set(engine.id, (own.get(engine.id) ?? 0) + 1)
    engine.batchSlots.admit(stream.entry, this._now)
    engine.waiting.push(stream)
  }

  private _choose (entry: number): Engine {
    const ranked = this._rankEngines(entry)
    if (this._workload.knowsOwnOnly) return ranked[0]!
    for (const engine of ranked.slice(0, maxCandidatesAsked)) {
      this._exchange(entry, engine)
      if (engine.batchSlots.expectedWait(engine.waiting.length, this._workload.serviceTime, this._now) <= maxExpectedWait) return engine
    }
    return ranked[0]!
  }

  /** A load request and its reply carry the load digests of both entries. */
  private _exchange (entry: number, engine: Engine): void {
    const [requested, replied] = [this._digests(entry), this._digests(engine.holder)]
    this._mergeDigests(engine.holder, requested)
    this._mergeDigests(entry, replied)
  }

  private _digests (entry: number): readonly LoadDigest[] {
    const own = this._engines.filter(({ holder }) => holder === entry).map(({ id, batchSlots }) => ({ upstream: id, running: batchSlots.running(this._now), promptBacklog: 0, age: 0 }))
    const received = [...this._known[entry]!].map(([upstream, { running, at }]) => ({ upstream, running, promptBacklog: 0, age: this._now - at })).filter(({ age }) => age < 2_000)
    return pickDigests(own, received, this._random)
  }

  private _mergeDigests (entry: number, digests: readonly LoadDigest[]): void {
    const known = this._known[entry]!
    for (const { upstream, running, age } of digests) {
      const at = this._now - age
      if ((known.get(upstream)?.at ?? -Infinity) < at) known.set(upstream, { running, at })
    }
  }

  private _rankEngines (entry: number): readonly Engine[] {
    const adapter = Math.floor(adapters * this._random() ** 3)
    const ranks = this._ranksOf(adapter)
    const known = this._known[entry]!
    const own = this._ownStreams[entry]!
    const candidates = this._engines.map(engine => {
      const latest = known.get(engine.id)
      const ownStreams = own.get(engine.id) ?? 0
      const running = this._workload.knowsOwnOnly ? ownStreams * this._workload.entries : latest?.running ?? ownStreams
      return { engine, id: engine.id, sameZone: true, running, promptBacklog: 0, slots: this._workload.places, latency: 0, failureShare: 0, adapter: 'recent' as const, rank: ranks.get(engine.id)! }
    })
    return rankCandidates(candidates, { replicas: 2, serviceTime: this._workload.knowsOwnOnly ? 0 : this._workload.serviceTime }).map(candidate => (candidate as typeof candidates[number]).engine)
  }

  private _ranksOf (adapter: number): ReadonlyMap<string, number> {
    const known = this._ranks.get(adapter)
    if (known !== undefined) return known
    const ranks = new Map(rendezvousOrder(`a${adapter}`, this._engines.map(({ id }) => id)).map((id, rank) => [id, rank]))
    this._ranks.set(adapter, ranks)
    return ranks
  }
}

/** Simulates a workload; the same workload and seed give the same result. */
export function simulateBatchSlots (workload: BatchSlotWorkload): BatchSlotResult { return new BatchSlotSimulation(workload).run() }
