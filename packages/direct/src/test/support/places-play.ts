/**
 * Plays streams of many entries at many engines with few places each, in virtual time, against the real decisions on where they go.
 */
import type { Ms } from '@hazelford/core'
import { BatchSlots, rankCandidates, rendezvousOrder } from '@hazelford/decisions'
import { type LoadDigest, pickDigests } from '../../lib/load-digest.js'
import { randoms } from './randoms.js'

/** What is played. */
export interface PlacesLoad {
  readonly entries: number
  readonly engines: number
  /** Requests that an engine runs at once. */
  readonly places: number
  /** Streams a second over all entries. */
  readonly rate: number
  /** Ms that a stream stays in its place. */
  readonly stay: Ms
  readonly length: Ms
  /** First event later than this after the request is late. */
  readonly target: Ms
  readonly seed: number
  /** Entries know their own streams only, and send at once; otherwise holders give out places. */
  readonly guessing: boolean
}

/** What callers got. */
export interface PlacesResult {
  /** Part of the streams that began in time. */
  readonly inTime: number
  /** Streams that waited for a place beside a free one elsewhere, in the mean over time. */
  readonly waitingBesideFree: number
}

const step: Ms = 5
/** Time from a place to the first event. */
const firstEvent: Ms = 80
const adapters = 2_000
/** An engine where a stream waits longer than this is left for another one, which is asked instead. */
const elsewhereAfter: Ms = 250
const maxAsked = 3

interface Stream { readonly since: Ms, until: Ms, readonly entry: string }
interface Engine { readonly id: string, readonly holder: number, readonly places: BatchSlots, running: Stream[], waiting: Stream[] }
type Known = Map<string, { readonly running: number, readonly at: Ms }>

class PlacesPlay {
  private readonly _random: () => number
  private readonly _engines: readonly Engine[]
  /** What each entry has heard of engines. */
  private readonly _known: readonly Known[]
  private readonly _own: readonly Map<string, number>[]
  private readonly _ranks = new Map<number, ReadonlyMap<string, number>>()
  private _now: Ms = 0
  private _inTime = 0
  private _all = 0
  private _waitingBesideFree = 0

  constructor (private readonly _load: PlacesLoad) {
    this._random = randoms(_load.seed)
    this._engines = Array.from({ length: _load.engines }, (_, n) => ({ id: `i-${n}`, holder: n % _load.entries, places: new BatchSlots(_load.places), running: [], waiting: [] }))
    this._known = Array.from({ length: _load.entries }, () => new Map())
    this._own = Array.from({ length: _load.entries }, () => new Map())
  }

  run (): PlacesResult {
    let steps = 0
    for (; this._now < this._load.length; this._now += step, steps++) {
      for (const engine of this._engines) this._turn(engine)
      const expected = this._load.rate * step / 1_000
      for (let n = Math.floor(expected + this._random()); n > 0; n--) this._arrive()
      const waiting = this._engines.reduce((sum, engine) => sum + engine.waiting.length, 0)
      const free = this._engines.reduce((sum, { running }) => sum + this._load.places - running.length, 0)
      this._waitingBesideFree += Math.min(waiting, free)
    }
    return { inTime: this._inTime / this._all, waitingBesideFree: this._waitingBesideFree / steps }
  }

  private _turn (engine: Engine): void {
    const ended = engine.running.filter(({ until }) => until <= this._now)
    for (const { entry } of ended) this._end(engine, entry)
    engine.running = engine.running.filter(({ until }) => until > this._now)
    while (engine.waiting.length > 0 && engine.running.length < this._load.places) this._begin(engine, engine.waiting.shift()!)
  }

  private _begin (engine: Engine, stream: Stream): void {
    // Stays differ: an output of usual length, and one of twice that.
    stream.until = this._now + this._load.stay * (0.5 + this._random())
    engine.running.push(stream)
    this._all++
    if (this._now + firstEvent - stream.since <= this._load.target) this._inTime++
  }

  private _end (engine: Engine, entry: string): void {
    const own = this._own[Number(entry)]!
    own.set(engine.id, (own.get(engine.id) ?? 1) - 1)
    engine.places.note(entry, own.get(engine.id)!, this._now)
  }

  private _arrive (): void {
    const entry = Math.floor(this._random() * this._load.entries)
    const stream: Stream = { since: this._now, until: 0, entry: String(entry) }
    const engine = this._choose(entry)
    const own = this._own[entry]!
    own.set(engine.id, (own.get(engine.id) ?? 0) + 1)
    engine.places.admit(stream.entry, this._now)
    engine.waiting.push(stream)
  }

  private _choose (entry: number): Engine {
    const ranked = this._rank(entry)
    if (this._load.guessing) return ranked[0]!
    for (const engine of ranked.slice(0, maxAsked)) {
      this._exchange(entry, engine)
      if (engine.places.expectedWait(engine.waiting.length, this._load.stay, this._now) <= elsewhereAfter) return engine
    }
    return ranked[0]!
  }

  /** An ask and its answer carry what both entries know. */
  private _exchange (entry: number, engine: Engine): void {
    const [asks, holds] = [this._digests(entry), this._digests(engine.holder)]
    this._hear(engine.holder, asks)
    this._hear(entry, holds)
  }

  private _digests (entry: number): readonly LoadDigest[] {
    const own = this._engines.filter(({ holder }) => holder === entry).map(({ id, places }) => ({ upstream: id, running: places.running(this._now), promptBacklog: 0, age: 0 }))
    const heard = [...this._known[entry]!].map(([upstream, { running, at }]) => ({ upstream, running, promptBacklog: 0, age: this._now - at })).filter(({ age }) => age < 2_000)
    return pickDigests(own, heard, this._random)
  }

  private _hear (entry: number, digests: readonly LoadDigest[]): void {
    const known = this._known[entry]!
    for (const { upstream, running, age } of digests) {
      const at = this._now - age
      if ((known.get(upstream)?.at ?? -Infinity) < at) known.set(upstream, { running, at })
    }
  }

  private _rank (entry: number): readonly Engine[] {
    const adapter = Math.floor(adapters * this._random() ** 3)
    const ranks = this._ranksOf(adapter)
    const known = this._known[entry]!
    const own = this._own[entry]!
    const candidates = this._engines.map(engine => {
      const heard = known.get(engine.id)
      const ownStreams = own.get(engine.id) ?? 0
      const running = this._load.guessing ? ownStreams * this._load.entries : heard?.running ?? ownStreams
      return { engine, id: engine.id, sameZone: true, running, promptBacklog: 0, slots: this._load.places, latency: 0, failureShare: 0, adapter: 'recent' as const, rank: ranks.get(engine.id)! }
    })
    return rankCandidates(candidates, { replicas: 2, serviceTime: this._load.guessing ? 0 : this._load.stay }).map(candidate => (candidate as typeof candidates[number]).engine)
  }

  private _ranksOf (adapter: number): ReadonlyMap<string, number> {
    const known = this._ranks.get(adapter)
    if (known !== undefined) return known
    const ranks = new Map(rendezvousOrder(`a${adapter}`, this._engines.map(({ id }) => id)).map((id, rank) => [id, rank]))
    this._ranks.set(adapter, ranks)
    return ranks
  }
}

/** Plays a load; the same one has the same result. */
export function playPlaces (load: PlacesLoad): PlacesResult { return new PlacesPlay(load).run() }
