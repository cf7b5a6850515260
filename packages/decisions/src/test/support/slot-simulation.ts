/**
 * Simulates requests for many adapters at one engine with few adapter slots, in virtual time, against the real plan.
 */
import type { Ms } from '@hazelford/core'
import { AdapterPlan } from '../../lib/adapter-plan.js'

/** Parameters of a simulation. */
export interface SlotLoad {
  readonly slots: number
  readonly adapters: number
  /** Requests per second. */
  readonly rate: number
  readonly length: Ms
  /** Ms from the time at which an adapter is loaded to the end of its stream. */
  readonly streamTime: Ms
  /** Ms from the time at which an adapter is loaded to the first event. */
  readonly firstEventTime: Ms
  /** Ms from a request to the latest first event that is in time. */
  readonly target: Ms
  /** Longest time that a caller waits for its stream to start. */
  readonly patience: Ms
  /** Ms between two reports of an entry on the adapters that it uses; a load request reports them too. */
  readonly reportInterval: Ms
  readonly seed: number
  /** Who sends the requests; one sender without an organisation by default. */
  readonly senders?: readonly SlotSender[]
}

/** A sender of requests, with adapters of its own. */
export interface SlotSender {
  readonly organisation?: string
  readonly urgency: number
  /** Its part of all requests. */
  readonly part: number
}

/** What callers got, as shares of all requests; `loads` is a number. */
export interface SlotResult {
  readonly inTime: number
  readonly late: number
  readonly refused: number
  readonly loads: number
  /** Share of each sender's requests that were served. */
  readonly served: readonly number[]
  /** Expected waits that the plan answered to requests, with the waits until their adapters were loaded or they gave up. */
  readonly predictions: readonly { readonly expected: Ms, readonly actual: Ms }[]
}

const model = 'base'
const entry = 'entry'
const step: Ms = 5
const storeLoadTime: Ms = 250
const hostCopyLoadTime: Ms = 25

/** An entry repeats its load request after this time without an answer. */
const requestInterval: Ms = 400

interface Open { readonly adapter: string, readonly sender: number, readonly at: Ms, askedAt: Ms, expected: Ms | undefined }

/** A small random number generator, so that a simulation can be repeated. */
function seededRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32
    return state / 2 ** 32
  }
}

/** Picks adapters of the usual skewed popularity. */
function zipf (adapters: number, random: () => number): () => string {
  const sums: number[] = []
  let sum = 0
  for (let rank = 1; rank <= adapters; rank++) sums.push(sum += rank ** -1.2)
  return () => {
    const at = random() * sum
    return `a${sums.findIndex(upTo => upTo >= at)}`
  }
}

class SlotSimulation {
  private readonly _plan: AdapterPlan
  private readonly _random: () => number
  private readonly _pick: () => string
  private readonly _loadedAt = new Map<string, Ms>()
  private readonly _recent = new Set<string>()
  private _open: Open[] = []
  private _running: { readonly adapter: string, readonly until: Ms }[] = []
  private readonly _senders: readonly SlotSender[]
  private readonly _served: { served: number, all: number }[]
  private readonly _predictions: { expected: Ms, actual: Ms }[] = []
  private _counts = { inTime: 0, late: 0, refused: 0, loads: 0, all: 0 }

  constructor (private readonly _load: SlotLoad) {
    this._random = seededRandom(_load.seed)
    this._pick = zipf(_load.adapters, this._random)
    this._senders = _load.senders ?? [{ urgency: 1, part: 1 }]
    this._served = this._senders.map(() => ({ served: 0, all: 0 }))
    this._plan = new AdapterPlan({ slots: 64, weightsMb: 1e6, adapterSlots: _load.slots, loadsPerSecond: 10, models: [{ name: model, weightsMb: 1, adapterMb: 1, adapters: _load.adapters }] })
    this._plan.applyReport({ models: [{ model, version: 1, adapters: [] }], coming: [], busy: false, orders: 0, running: 0, waiting: 0 }, 0)
  }

  run (): SlotResult {
    const { length, rate } = this._load
    for (let now = 0; now < length; now += step) {
      if (this._random() < rate * step / 1_000) this._arrive(now)
      this._endStreams(now)
      this._startStreams(now)
      this._carryOutOrders(now)
    }
    const { all, inTime, late, refused, loads } = this._counts
    return { inTime: inTime / all, late: late / all, refused: refused / all, loads, served: this._served.map(({ served, all: sent }) => served / sent), predictions: this._predictions }
  }

  private _arrive (now: Ms): void {
    const sender = this._pickSender()
    const open: Open = { adapter: `${sender === 0 ? '' : sender}${this._pick()}`, sender, at: now, askedAt: now, expected: undefined }
    this._open.push(open)
    this._requestAdapter(open, now, false)
  }

  private _pickSender (): number {
    if (this._senders.length === 1) return 0
    let left = this._random()
    return Math.max(0, this._senders.findIndex(({ part }) => (left -= part) < 0))
  }

  /** Records the end of a request. */
  private _end ({ sender, at, expected }: Open, isServed: boolean, now: Ms): void {
    const counts = this._served[sender]!
    counts.all++
    if (isServed) counts.served++
    if (expected !== undefined) this._predictions.push({ expected, actual: now - at })
  }

  private _requestAdapter (open: Open, now: Ms, repeated: boolean): void {
    const { target, patience } = this._load
    const { adapter, at } = open
    const { urgency, organisation } = this._senders[open.sender]!
    open.askedAt = now
    this._reportUse(now)
    const terms = { urgency, until: at + patience, dueAt: at + target, missing: false, repeated, ...(organisation === undefined ? {} : { organisation }) }
    if (!repeated && this._load.senders !== undefined) {
      const first = this._plan.requestAdapter({ model, adapter }, { ...terms, mayWait: false }, now)
      if (first.kind === 'occupied') open.expected = first.wait
    }
    this._plan.requestAdapter({ model, adapter }, { ...terms, mayWait: true, repeated: repeated || this._load.senders !== undefined }, now)
  }

  private _endStreams (now: Ms): void {
    this._running = this._running.filter(({ until }) => until > now)
    if (now % this._load.reportInterval === 0) this._reportUse(now)
  }

  private _reportUse (now: Ms): void { this._plan.recordUse(entry, this._running.map(({ adapter }) => `${model}/${adapter}`), now) }

  private _startStreams (now: Ms): void {
    const { target, patience, streamTime, firstEventTime } = this._load
    for (const open of this._open) if (now - open.askedAt >= requestInterval) this._requestAdapter(open, now, true)
    this._open = this._open.filter(open => {
      const { adapter, at } = open
      if (now - at > patience) {
        this._counts.refused++
        this._counts.all++
        this._end(open, false, now)
        return false
      }
      if (this._plan.reserve({ model, adapter }, now) === undefined) return true
      this._plan.addUse(entry, model, adapter, now)
      this._running.push({ adapter, until: now + streamTime })
      this._counts[now + firstEventTime - at <= target ? 'inTime' : 'late']++
      this._counts.all++
      this._end(open, true, now)
      return false
    })
  }

  /** Carries out orders until the plan has none; the engine answers each at once. */
  private _carryOutOrders (now: Ms): void {
    for (let action = this._plan.nextAction(now); action.kind === 'load' || action.kind === 'unload'; action = this._plan.nextAction(now)) {
      const { adapter } = action.target
      if (adapter === undefined) return
      if (action.kind === 'unload') {
        this._loadedAt.delete(adapter)
        this._plan.recordOrderOutcome(action, 'holds', now)
        continue
      }
      const readyAt = this._loadedAt.get(adapter)
      if (readyAt === undefined) {
        this._counts.loads++
        this._loadedAt.set(adapter, now + (this._recent.has(adapter) ? hostCopyLoadTime : storeLoadTime))
        this._recent.add(adapter)
      }
      this._plan.recordOrderOutcome(action, readyAt !== undefined && readyAt <= now ? 'holds' : 'accepted', now)
    }
  }
}

/** Runs one simulation. */
export function simulateSlots (load: SlotLoad): SlotResult { return new SlotSimulation(load).run() }
