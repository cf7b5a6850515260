/**
 * Simulates streams from many entries on engines with few batch slots each, in virtual time, with the real placement decisions.
 */
import type { Ms } from '@hazelford/core'
import { BatchSlots, homesWithSpeed, homeWeight, promptTokensPerMs, rankCandidates, replicasFor, weightedRendezvousOrder } from '@hazelford/decisions'
import { type LoadDigest, pickDigests } from '../../lib/engines/load-digest.js'
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
  /** Engines that read prompts and keep few adapters; undefined for equal ones that keep all and read at once. */
  readonly uneven?: UnevenEngines
}

/** Engines of different speeds. */
export interface UnevenEngines {
  /** Speeds of the engines in turn. */
  readonly speeds: readonly number[]
  /** Whether entries know the speeds; otherwise they take all engines for equal. */
  readonly knowsSpeeds: boolean
  /** Weight of an engine of a speed among the homes of adapters. */
  readonly weigh?: (speed: number) => number
  /** Lengths in tokens of the prompts, in turn. */
  readonly prompts: readonly number[]
  /** A stream is late, too, when it stands still for longer than this. */
  readonly pauseTarget: Ms
  /** Adapters that an engine and its host keep. */
  readonly copies: number
  readonly adapterSlots: number
}

/** What callers experience. */
export interface BatchSlotResult {
  /** Share of the streams that began in time. */
  readonly inTime: number
  /** Streams that wait while a batch slot is free at another engine: mean over time. */
  readonly avoidableWaits: number
  /** Share of the ended streams that began in time and did not pause for too long. */
  readonly onTime: number
  /** Loads of adapters that an engine's host did not keep. */
  readonly loads: number
  /** Streams started by each engine. */
  readonly started: readonly number[]
  /** Streams of each engine that were late. */
  readonly late: readonly number[]
}

const step: Ms = 5
/** Time from getting a batch slot to the first event. */
const firstEvent: Ms = 80
const adapters = 2_000
/** An engine with a longer expected wait than this is skipped; the entry asks the next candidate. */
const maxExpectedWait: Ms = 250
const maxCandidatesAsked = 3

/** Time for which a request for an adapter that is not kept waits for its load. */
const loadTime: Ms = 250

interface Stream { readonly since: Ms, until: Ms, readonly entry: string, readonly adapter: number, readonly tokens: number, readonly readyAt: Ms, firstEventAt: Ms, isLate: boolean }
interface Engine {
  readonly id: string
  readonly holder: number
  readonly batchSlots: BatchSlots
  readonly speed: number
  running: Stream[]
  waiting: Stream[]
  started: number
  late: number
  /** Prompts are being read without a break between these times. */
  readingSince: Ms
  readingUntil: Ms
  /** Kept adapters, the latest last. */
  readonly copies: Set<number>
}
type Known = Map<string, { readonly running: number, readonly promptBacklog: number, readonly at: Ms }>

class BatchSlotSimulation {
  private readonly _random: () => number
  private readonly _engines: readonly Engine[]
  /** Load of engines as each entry last received it. */
  private readonly _known: readonly Known[]
  private readonly _ownStreams: readonly Map<string, number>[]
  private readonly _ranks = new Map<number, ReadonlyMap<string, number>>()
  private _now: Ms = 0
  private _inTimeCount = 0
  private _onTimeCount = 0
  private _startedCount = 0
  private _endedCount = 0
  private _arrivals = 0
  private _loads = 0
  private _avoidableWaitSum = 0

  constructor (private readonly _workload: BatchSlotWorkload) {
    this._random = seededRandom(_workload.seed)
    this._engines = Array.from({ length: _workload.engines }, (_, n) => ({ id: `i-${n}`, holder: n % _workload.entries, batchSlots: new BatchSlots(_workload.places), speed: _workload.uneven?.speeds[n % _workload.uneven.speeds.length] ?? 1, running: [], waiting: [], started: 0, late: 0, readingSince: 0, readingUntil: 0, copies: new Set() }))
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
    return {
      inTime: this._inTimeCount / this._startedCount,
      avoidableWaits: this._avoidableWaitSum / steps,
      onTime: this._onTimeCount / this._endedCount,
      loads: this._loads,
      started: this._engines.map(({ started }) => started),
      late: this._engines.map(({ late }) => late)
    }
  }

  private _stepEngine (engine: Engine): void {
    const ended = engine.running.filter(({ until }) => until <= this._now)
    for (const stream of ended) this._endStream(engine, stream)
    engine.running = engine.running.filter(({ until }) => until > this._now)
    while (engine.waiting.length > 0 && engine.waiting[0]!.readyAt <= this._now && engine.running.length < this._workload.places && this._hasAdapterSlot(engine, engine.waiting[0]!.adapter)) this._startStream(engine, engine.waiting.shift()!)
  }

  private _hasAdapterSlot ({ running }: Engine, adapter: number): boolean {
    const { uneven } = this._workload
    if (uneven === undefined) return true
    const inUse = new Set(running.map(stream => stream.adapter))
    return inUse.has(adapter) || inUse.size < uneven.adapterSlots
  }

  private _startStream (engine: Engine, stream: Stream): void {
    this._readPrompt(engine, stream.tokens)
    stream.firstEventAt = Math.max(this._now, engine.readingUntil) + firstEvent / engine.speed
    // Service times vary between half and one and a half times the mean, as output lengths do.
    stream.until = Math.max(this._now, engine.readingUntil) + this._workload.serviceTime * (0.5 + this._random()) / engine.speed
    engine.running.push(stream)
    engine.started++
    this._startedCount++
    const isInTime = stream.firstEventAt - stream.since <= this._workload.target
    if (isInTime) this._inTimeCount++
    else stream.isLate = true
  }

  /** Streams stand still while prompts are read. */
  private _readPrompt (engine: Engine, tokens: number): void {
    if (tokens === 0) return
    if (engine.readingUntil <= this._now) engine.readingSince = this._now
    const duration = tokens / promptTokensPerMs / engine.speed
    engine.readingUntil = Math.max(this._now, engine.readingUntil) + duration
    const isPause = engine.readingUntil - engine.readingSince > this._workload.uneven!.pauseTarget
    for (const stream of engine.running) {
      stream.until += duration
      if (isPause && stream.firstEventAt < engine.readingSince) stream.isLate = true
    }
  }

  private _endStream (engine: Engine, { entry, isLate }: Stream): void {
    this._endedCount++
    if (isLate) engine.late++
    else this._onTimeCount++
    const own = this._ownStreams[Number(entry)]!
    own.set(engine.id, (own.get(engine.id) ?? 1) - 1)
    engine.batchSlots.recordReport(entry, own.get(engine.id)!, this._now)
  }

  private _arriveStream (): void {
    const entry = Math.floor(this._random() * this._workload.entries)
    const adapter = Math.floor(adapters * this._random() ** 3)
    const prompts = this._workload.uneven?.prompts ?? [0]
    const tokens = prompts[this._arrivals++ % prompts.length]!
    const engine = this._choose(entry, adapter, tokens)
    const stream: Stream = { since: this._now, until: 0, entry: String(entry), adapter, tokens, readyAt: this._now + this._load(engine, adapter), firstEventAt: 0, isLate: false }
    const own = this._ownStreams[entry]!
    own.set(engine.id, (own.get(engine.id) ?? 0) + 1)
    engine.batchSlots.admit(stream.entry, this._now)
    engine.waiting.push(stream)
  }

  /** Loads an adapter that an engine does not keep, and returns the wait for it. */
  private _load ({ copies }: Engine, adapter: number): Ms {
    const { uneven } = this._workload
    if (uneven === undefined) return 0
    const wait = copies.delete(adapter) ? 0 : loadTime
    if (wait > 0) this._loads++
    copies.add(adapter)
    const [oldest] = copies
    if (copies.size > uneven.copies) copies.delete(oldest!)
    return wait
  }

  private _choose (entry: number, adapter: number, tokens: number): Engine {
    const ranked = this._rankEngines(entry, adapter, tokens)
    if (this._workload.knowsOwnOnly) return ranked[0]!
    for (const engine of ranked.slice(0, maxCandidatesAsked)) {
      this._exchange(entry, engine)
      if (this._hasAdapterSlot(engine, adapter) && engine.batchSlots.expectedWait(engine.waiting.length, this._workload.serviceTime, this._now) <= maxExpectedWait) return engine
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
    const own = this._engines.filter(({ holder }) => holder === entry).map(({ id, batchSlots, readingUntil, speed }) => ({ upstream: id, running: batchSlots.running(this._now), promptBacklog: Math.max(0, readingUntil - this._now) * promptTokensPerMs * speed, age: 0 }))
    const received = [...this._known[entry]!].map(([upstream, { at, ...load }]) => ({ upstream, ...load, age: this._now - at })).filter(({ age }) => age < 2_000)
    return pickDigests(own, received, this._random)
  }

  private _mergeDigests (entry: number, digests: readonly LoadDigest[]): void {
    const known = this._known[entry]!
    for (const { upstream, age, ...load } of digests) {
      const at = this._now - age
      if ((known.get(upstream)?.at ?? -Infinity) < at) known.set(upstream, { ...load, at })
    }
  }

  private _rankEngines (entry: number, adapter: number, promptTokens: number): readonly Engine[] {
    const { knowsOwnOnly, entries, places, serviceTime } = this._workload
    const ranks = this._ranksOf(adapter)
    const known = this._known[entry]!
    const own = this._ownStreams[entry]!
    const candidates = this._engines.map(engine => {
      const latest = known.get(engine.id)
      const ownStreams = own.get(engine.id) ?? 0
      const running = knowsOwnOnly ? ownStreams * entries : latest?.running ?? ownStreams
      const speed = this._knownSpeed(engine)
      const promptBacklog = latest === undefined ? 0 : Math.max(0, latest.promptBacklog - (this._now - latest.at) * promptTokensPerMs * speed)
      const presence = this._workload.uneven === undefined || engine.copies.has(adapter) ? 'recent' as const : 'loadable' as const
      return { engine, id: engine.id, sameZone: true, running, promptBacklog, slots: places, speed, latency: 0, failureShare: 0, adapter: presence, rank: ranks.get(engine.id)! }
    })
    const context = { replicas: this._replicasOf(adapter, ranks), serviceTime: knowsOwnOnly ? 0 : serviceTime, promptTokens }
    return rankCandidates(candidates, context).map(candidate => (candidate as typeof candidates[number]).engine)
  }

  private _knownSpeed ({ speed }: Engine): number { return this._workload.uneven?.knowsSpeeds === false ? 1 : speed }

  private _replicasOf (adapter: number, ranks: ReadonlyMap<string, number>): number {
    const { uneven, engines } = this._workload
    if (uneven === undefined) return 2
    const share = ((adapter + 1) / adapters) ** (1 / 3) - (adapter / adapters) ** (1 / 3)
    const speeds: number[] = []
    for (const engine of this._engines) speeds[ranks.get(engine.id)!] = this._knownSpeed(engine)
    return homesWithSpeed(replicasFor(share, engines, uneven.adapterSlots), speeds)
  }

  private _ranksOf (adapter: number): ReadonlyMap<string, number> {
    const known = this._ranks.get(adapter)
    if (known !== undefined) return known
    const weigh = this._workload.uneven?.weigh ?? homeWeight
    const nodes = this._engines.map(engine => ({ node: engine.id, weight: weigh(this._knownSpeed(engine)) }))
    const ranks = new Map(weightedRendezvousOrder(`a${adapter}`, nodes).map((id, rank) => [id, rank]))
    this._ranks.set(adapter, ranks)
    return ranks
  }
}

/** Simulates a workload; the same workload and seed give the same result. */
export function simulateBatchSlots (workload: BatchSlotWorkload): BatchSlotResult { return new BatchSlotSimulation(workload).run() }
