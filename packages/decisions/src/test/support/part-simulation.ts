/**
 * Simulates engines that terminate as they begin to answer requests with some prompt parts, in virtual time and without a
 * network. All entries are one: reports and answers are known at once.
 */
import type { Ms } from '@hazelford/core'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { PartSuspicion } from '../../lib/part-suspicion.js'
import { provesPartHarmless } from '../../lib/request-quarantine.js'

/** Parameters of a simulation. */
export interface PartLoad {
  readonly engines: number
  /** Sound requests a second. */
  readonly soundRate: number
  /** Number of middle parts of sound requests; all requests share their first part. */
  readonly soundParts: number
  /** Harmful parts with their requests a second. */
  readonly harmful: ReadonlyArray<{ readonly part: string, readonly rate: number }>
  /** From when harmful parts do harm; before, their requests are answered. */
  readonly harmfulFrom: Ms
  readonly restartTime: Ms
  /** Times at which a share of the engines terminates for another reason. */
  readonly crashes: ReadonlyArray<{ readonly at: Ms, readonly share: number }>
  readonly length: Ms
  readonly seed: number
}

/** Result of a simulation. */
export interface PartResult {
  /** Parts that were quarantined, and when. */
  readonly quarantined: ReadonlyMap<string, Ms>
  /** For each harmful part, the times of the terminations of its requests. */
  readonly terminations: ReadonlyMap<string, readonly Ms[]>
}

interface Run { readonly request: string, readonly parts: readonly string[], readonly engine: number, readonly attempt: number, readonly beginsAt: Ms, readonly endsAt: Ms, cleared: boolean }

export const firstPart = 'first'
const step: Ms = 10
const settleTime: Ms = 250
const attempts = 2
const limits = { after: 4, holdTime: 600_000 }

/** The engines, their requests and the search for harmful parts. */
class PartSimulation {
  readonly quarantined = new Map<string, Ms>()
  readonly terminations = new Map<string, Ms[]>()
  private readonly _rng
  private readonly _suspicion = new PartSuspicion(limits, part => this.quarantined.has(part))
  private readonly _backAt: Ms[]
  private readonly _starts: number[]
  private _runs: Run[] = []
  private _count = 0
  private _decideAt = Infinity

  constructor (private readonly _load: PartLoad) {
    this._rng = xoroshiro128plus(_load.seed)
    this._backAt = new Array<Ms>(_load.engines).fill(0)
    this._starts = new Array<number>(_load.engines).fill(0)
    for (const { part } of _load.harmful) this.terminations.set(part, [])
  }

  advance (now: Ms): void {
    this._arrive(now)
    for (const { at, share } of this._load.crashes) {
      if (at <= now - step || at > now) continue
      for (let engine = 0; engine < this._load.engines; engine++) if (uniformFloat64(this._rng) < share) this._terminate(engine, now)
    }
    for (const run of [...this._runs]) this._progress(run, now)
    if (now >= this._decideAt) this._decide(now)
  }

  private _arrive (now: Ms): void {
    const { soundRate, soundParts, harmful } = this._load
    const isDue = (rate: number): boolean => uniformFloat64(this._rng) < rate * step / 1_000
    if (isDue(soundRate)) this._start([firstPart, `sound-${this._pick(soundParts)}`], now)
    for (const { part, rate } of harmful) if (!this.quarantined.has(part) && isDue(rate)) this._start([firstPart, part], now)
  }

  private _start (parts: readonly string[], now: Ms, request = `r${this._count++}`, attempt = 1): void {
    const up = [...this._backAt.keys()].filter(engine => this._backAt[engine]! <= now)
    if (up.length === 0 || parts.some(part => this.quarantined.has(part))) return
    const beginsAt = now + 60 + 250 * uniformFloat64(this._rng)
    const endsAt = beginsAt + 500 + 3_000 * uniformFloat64(this._rng)
    this._runs.push({ request, parts, engine: up[this._pick(up.length)]!, attempt, beginsAt, endsAt, cleared: false })
  }

  private _progress (run: Run, now: Ms): void {
    if (now < run.beginsAt || !this._runs.includes(run)) return
    const harmful = now >= this._load.harmfulFrom ? this._load.harmful.find(({ part }) => run.parts.includes(part) && run.beginsAt >= this._load.harmfulFrom) : undefined
    if (harmful !== undefined) {
      this.terminations.get(harmful.part)!.push(now)
      return this._terminate(run.engine, now)
    }
    if (!run.cleared && provesPartHarmless(now - run.beginsAt)) {
      run.cleared = true
      for (const part of run.parts) this._suspicion.recordAnswered(part, run.beginsAt)
    }
    if (now >= run.endsAt) this._runs = this._runs.filter(other => other !== run)
  }

  /** Terminates an engine; its requests are sent to another one. */
  private _terminate (engine: number, now: Ms): void {
    if (this._backAt[engine]! > now) return
    this._backAt[engine] = now + this._load.restartTime
    const lost = this._runs.filter(run => run.engine === engine)
    this._runs = this._runs.filter(run => run.engine !== engine)
    const parts = new Map<string, { readonly requests: string[], readonly isFirst: boolean }>()
    for (const run of lost) {
      if (provesPartHarmless(now - run.beginsAt)) continue
      for (const part of run.parts) {
        const group = parts.get(part) ?? { requests: [], isFirst: part === firstPart }
        parts.set(part, group)
        group.requests.push(run.request)
      }
    }
    this._suspicion.recordTermination({ upstream: `u${engine}.${this._starts[engine]!++}`, at: now, parts }, now)
    if (this._decideAt === Infinity && this._suspicion.candidates(now).length > 0) this._decideAt = now + settleTime
    for (const { parts: own, request, attempt } of lost) if (attempt < attempts) this._start(own, now, request, attempt + 1)
  }

  private _decide (now: Ms): void {
    this._decideAt = Infinity
    for (const { part } of this._suspicion.likeliest(now)) {
      this.quarantined.set(part, now)
      this._runs = this._runs.filter(run => !run.parts.includes(part))
    }
  }

  private _pick (below: number): number { return Math.floor(uniformFloat64(this._rng) * below) }
}

/** Runs a simulation. */
export function simulateParts (load: PartLoad): PartResult {
  const simulation = new PartSimulation(load)
  for (let now = step; now <= load.length; now += step) simulation.advance(now)
  return simulation
}
