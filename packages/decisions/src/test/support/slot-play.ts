/**
 * Plays requests for many adapters at one engine with few slots, in virtual time, against the real plan.
 */
import type { Ms } from '@hazelford/core'
import { AdapterPlan } from '../../lib/adapter-plan.js'

/** What is played. */
export interface SlotLoad {
  readonly slots: number
  readonly adapters: number
  /** Requests a second. */
  readonly rate: number
  readonly length: Ms
  /** Ms from the moment an adapter is there to the end of its stream. */
  readonly runs: Ms
  /** Ms from there to the first event. */
  readonly reads: Ms
  readonly target: Ms
  readonly patience: Ms
  /** Ms between two words of an entry on what it uses, unless an ask tells. */
  readonly wordEvery: Ms
  readonly seed: number
}

/** What callers got, as parts of all requests. */
export interface SlotResult {
  readonly inTime: number
  readonly late: number
  readonly refused: number
  readonly loads: number
}

const model = 'base'
const entry = 'entry'
const step: Ms = 5
const freshLoad: Ms = 250
const recentLoad: Ms = 25

/** An entry asks again when it has heard nothing for this long. */
const askAgainAfter: Ms = 400

interface Open { readonly adapter: string, readonly at: Ms, askedAt: Ms }

/** A small generator, so that a play repeats. */
function randoms (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

/** Picks adapters whose popularity falls with their rank. */
function zipf (adapters: number, random: () => number): () => string {
  const sums: number[] = []
  let sum = 0
  for (let rank = 1; rank <= adapters; rank++) sums.push(sum += rank ** -1.2)
  return () => {
    const at = random() * sum
    return `a${sums.findIndex(upTo => upTo >= at)}`
  }
}

class SlotPlay {
  private readonly _plan: AdapterPlan
  private readonly _random: () => number
  private readonly _pick: () => string
  private readonly _held = new Map<string, Ms>()
  private readonly _recent = new Set<string>()
  private _open: Open[] = []
  private _running: { readonly adapter: string, readonly until: Ms }[] = []
  private _counts = { inTime: 0, late: 0, refused: 0, loads: 0, all: 0 }

  constructor (private readonly _load: SlotLoad) {
    this._random = randoms(_load.seed)
    this._pick = zipf(_load.adapters, this._random)
    this._plan = new AdapterPlan({ slots: 64, weightsMb: 1e6, adapterSlots: _load.slots, loadsPerSecond: 10, models: [{ name: model, weightsMb: 1, adapterMb: 1, adapters: _load.adapters }] })
    this._plan.applyReport({ models: [{ model, version: 1, adapters: [] }], coming: [], busy: false, orders: 0, running: 0, waiting: 0 }, 0)
  }

  play (): SlotResult {
    const { length, rate } = this._load
    for (let now = 0; now < length; now += step) {
      if (this._random() < rate * step / 1_000) this._arrive(now)
      this._end(now)
      this._start(now)
      this._order(now)
    }
    const { all, inTime, late, refused, loads } = this._counts
    return { inTime: inTime / all, late: late / all, refused: refused / all, loads }
  }

  private _arrive (now: Ms): void {
    const open = { adapter: this._pick(), at: now, askedAt: now }
    this._open.push(open)
    this._ask(open, now, false)
  }

  private _ask (open: Open, now: Ms, repeated: boolean): void {
    const { target, patience } = this._load
    const { adapter, at } = open
    open.askedAt = now
    this._tellUse(now)
    this._plan.requestAdapter({ model, adapter }, { urgency: 1, until: at + patience, dueAt: at + target, missing: false, mayWait: true, repeated }, now)
  }

  private _end (now: Ms): void {
    this._running = this._running.filter(({ until }) => until > now)
    if (now % this._load.wordEvery === 0) this._tellUse(now)
  }

  private _tellUse (now: Ms): void { this._plan.recordUse(entry, this._running.map(({ adapter }) => `${model}/${adapter}`), now) }

  private _start (now: Ms): void {
    const { target, patience, runs, reads } = this._load
    for (const open of this._open) if (now - open.askedAt >= askAgainAfter) this._ask(open, now, true)
    this._open = this._open.filter(({ adapter, at }) => {
      if (now - at > patience) {
        this._counts.refused++
        this._counts.all++
        return false
      }
      if (this._plan.reserve({ model, adapter }, now) === undefined) return true
      this._plan.addUse(entry, model, adapter, now)
      this._running.push({ adapter, until: now + runs })
      this._counts[now + reads - at <= target ? 'inTime' : 'late']++
      this._counts.all++
      return false
    })
  }

  /** Carries out orders until the plan has none; an engine answers each at once. */
  private _order (now: Ms): void {
    for (let action = this._plan.nextAction(now); action.kind === 'load' || action.kind === 'unload'; action = this._plan.nextAction(now)) {
      const { adapter } = action.target
      if (adapter === undefined) return
      if (action.kind === 'unload') {
        this._held.delete(adapter)
        this._plan.recordOrderOutcome(action, 'holds', now)
        continue
      }
      const readyAt = this._held.get(adapter)
      if (readyAt === undefined) {
        this._counts.loads++
        this._held.set(adapter, now + (this._recent.has(adapter) ? recentLoad : freshLoad))
        this._recent.add(adapter)
      }
      this._plan.recordOrderOutcome(action, readyAt !== undefined && readyAt <= now ? 'holds' : 'accepted', now)
    }
  }
}

/** Plays one load. */
export function playSlots (load: SlotLoad): SlotResult { return new SlotPlay(load).play() }
