/**
 * Plans what one engine is ordered to load and unload, by the entry that orders it.
 */
import { assertNever, type Ms } from '@hazelford/core'
import type { EngineReport, EngineSpec, HeldModel, LoadTarget, OrderOutcome } from '@hazelford/ports'
import { DecayedCounter } from './decayed-counter.js'

/** A model, or an adapter of it, in a version if one is declared. */
export interface AdapterWant {
  readonly model: string
  readonly adapter?: string
  readonly version?: number
}

/** What the plan wants done next. */
export type PlanAction =
  | { readonly kind: 'load', readonly target: LoadTarget }
  | { readonly kind: 'unload', readonly target: LoadTarget }
  /** The engine must be asked what it holds. */
  | { readonly kind: 'report' }
  /** Nothing to do before `until`, or before something is asked for. */
  | { readonly kind: 'idle', readonly until: Ms }

/** Answer to a request for an adapter. */
export type Readiness =
  /** Requests for it may be sent until `until`; it isn't unloaded before. */
  | { readonly kind: 'ready', readonly until: Ms, readonly version: number | undefined }
  /** It is on its way. */
  | { readonly kind: 'coming' }

/** Requests that rely on a promise start well within this time after they leave the entry. */
export const readyPromise: Ms = 1_500
/** Adapters that may be in transit to one engine; it fails beyond. */
const maxInTransit = 4
/** First guesses at load times, from the service's description; corrected by what is seen. */
const freshLoad: Ms = 250
const recentLoad: Ms = 25
/** Added to an expected load time: the order's way and the engine's next step. */
const loadMargin: Ms = 10
const modelLoad: Ms = 2_000
/** A report lags by some hundred ms; a later one shows the effect of an order. */
const reportLag: Ms = 250
const popularityHalfLife: Ms = 6_000
/** Adapters whose copies an engine keeps in its host's memory. */
const recentCapacity = 120

interface Slot {
  readonly model: string
  readonly adapter: string
  version: number | undefined
  /**
   * - `in-transit`: accepted by the engine; counts as loaded from `readyAt`.
   * - `unloading`: the engine waits for its requests to end.
   * - `unknown`: an order had no answer.
   */
  state: 'loaded' | 'in-transit' | 'unloading' | 'unknown'
  readyAt: Ms
  promisedUntil: Ms
}

interface Waiting { readonly want: AdapterWant, readonly urgency: number, readonly since: Ms }

function slotKey (model: string, adapter: string): string { return `${model}/${adapter}` }

/** Loads, unloads and promises of one engine. Reads no clock; each call names the time. */
export class AdapterPlan {
  private _slots = new Map<string, Slot>()
  private _models = new Map<string, 'loaded' | 'in-transit' | 'unknown'>()
  private readonly _waiting = new Map<string, Waiting>()
  private readonly _popularity = new DecayedCounter(popularityHalfLife, 5_000)
  private readonly _recent = new Set<string>()
  /** What load times are multiplied by, as engines slow down when many load. */
  private _slowdown = 1
  private _mustReport = true
  private _reportAt: Ms = 0

  constructor (private readonly _spec: EngineSpec) {}

  /** Whether the engine's state is known. */
  get known (): boolean { return !this._mustReport }

  /** Adapters loaded, on their way or leaving: all of them hold slots. */
  get slotsUsed (): number { return this._slots.size }

  get waiting (): number { return this._waiting.size }

  holdsModel (model: string): boolean { return this._models.get(model) === 'loaded' }

  /**
   * Takes what the engine says it holds.
   *
   * @param report - asked for at `askedAt`
   * @param askedAt - time
   */
  takeReport (report: EngineReport, askedAt: Ms): void {
    const held = this._slots
    this._slots = new Map()
    this._models = new Map(report.models.map(({ model }) => [model, 'loaded']))
    this._mustReport = false
    for (const model of report.models) this._takeModel(model, held, askedAt)
    for (const { model, adapter, version } of report.coming) {
      const key = slotKey(model, adapter)
      const before = held.get(key)
      this._slots.set(key, { model, adapter, version, state: 'in-transit', readyAt: Math.max(before?.readyAt ?? 0, askedAt + recentLoad), promisedUntil: 0 })
    }
    // An order that was accepted after the report's values were read isn't in it yet.
    for (const [key, slot] of held) {
      if (slot.state === 'in-transit' && slot.readyAt > askedAt - reportLag && !this._slots.has(key)) this._slots.set(key, slot)
    }
    if (report.busy) this._askAgain(askedAt + reportLag)
  }

  private _takeModel ({ model, adapters }: HeldModel, held: ReadonlyMap<string, Slot>, askedAt: Ms): void {
    for (const { adapter, version } of adapters) {
      const key = slotKey(model, adapter)
      const before = held.get(key)
      const leaving = before?.state === 'unloading'
      if (leaving) this._askAgain(askedAt + reportLag)
      this._slots.set(key, { model, adapter, version, state: leaving ? 'unloading' : 'loaded', readyAt: 0, promisedUntil: before?.promisedUntil ?? 0 })
      this._remember(key)
    }
  }

  private _askAgain (at: Ms): void {
    this._mustReport = true
    this._reportAt = at
  }

  private _remember (key: string): void {
    this._recent.delete(key)
    this._recent.add(key)
    for (const oldest of this._recent) {
      if (this._recent.size <= recentCapacity) break
      this._recent.delete(oldest)
    }
  }

  /**
   * Asks for an adapter, or for a model alone.
   *
   * @param want - in the version declared, if one is
   * @param urgency - 0 is the most urgent
   * @param now - time
   * @param missing - the engine has just refused a request for lack of it
   */
  ask (want: AdapterWant, urgency: number, now: Ms, missing = false): Readiness {
    const key = slotKey(want.model, want.adapter ?? '')
    this._popularity.add(key, now)
    const slot = this._slots.get(key)
    if (missing && slot !== undefined) this._distrust(slot, now)
    const ready = this.promise(want, now)
    if (ready !== undefined) return ready
    this._enqueue(key, want, urgency, now)
    return { kind: 'coming' }
  }

  /**
   * Promises an adapter or a model that can be used now.
   *
   * @returns undefined when it can't be
   */
  promise (want: AdapterWant, now: Ms): Readiness & { readonly kind: 'ready' } | undefined {
    const key = slotKey(want.model, want.adapter ?? '')
    if (want.adapter === undefined) {
      if (!this.holdsModel(want.model)) return undefined
      this._waiting.delete(key)
      return { kind: 'ready', until: now + readyPromise, version: undefined }
    }
    const slot = this._slots.get(key)
    if (slot === undefined || !this._usable(slot, want, now)) return undefined
    slot.promisedUntil = Math.max(slot.promisedUntil, now + readyPromise)
    this._waiting.delete(key)
    return { kind: 'ready', until: slot.promisedUntil, version: slot.version }
  }

  holdsAdapter (model: string, adapter: string): boolean { return this._slots.has(slotKey(model, adapter)) }

  private _enqueue (key: string, want: AdapterWant, urgency: number, now: Ms): void {
    const earlier = this._waiting.get(key)
    if (earlier === undefined) this._waiting.set(key, { want, urgency, since: now })
    else if (urgency < earlier.urgency || earlier.want.version !== want.version) this._waiting.set(key, { want, urgency: Math.min(urgency, earlier.urgency), since: earlier.since })
  }

  private _usable (slot: Slot, want: AdapterWant, now: Ms): boolean {
    if (want.version !== undefined && (slot.version ?? 0) < want.version) return false
    return slot.state === 'loaded' || (slot.state === 'in-transit' && now >= slot.readyAt)
  }

  /** The engine lacks what the plan took for loaded: the load is late, or its view is wrong. */
  private _distrust (slot: Slot, now: Ms): void {
    if (slot.state === 'in-transit' && now < slot.readyAt + 4 * recentLoad) {
      this._slowdown = Math.min(8, this._slowdown * 1.2)
      slot.readyAt = now + recentLoad * this._slowdown
      return
    }
    slot.state = 'unknown'
    this._askAgain(now)
  }

  /** When a waiting adapter that is in transit will be usable; undefined when none is. */
  nextReady (now: Ms): Ms | undefined {
    let next: Ms | undefined
    for (const key of this._waiting.keys()) {
      const slot = this._slots.get(key)
      if (slot?.state === 'in-transit' && slot.readyAt > now) next = Math.min(next ?? Infinity, slot.readyAt)
    }
    return next
  }

  /**
   * Decides the next order. One order is under way at any time.
   *
   * @param now - time
   */
  next (now: Ms): PlanAction {
    this._settle(now)
    if (this._mustReport) return now >= this._reportAt ? { kind: 'report' } : { kind: 'idle', until: this._reportAt }
    const model = this._modelToLoad()
    if (model !== undefined) return { kind: 'load', target: { model } }
    for (const { want } of this._byUrgency()) {
      const action = want.adapter === undefined ? undefined : this._actionFor(want, now)
      if (action !== undefined) return action
    }
    return { kind: 'idle', until: this.nextReady(now) ?? Infinity }
  }

  private _byUrgency (): readonly Waiting[] {
    return [...this._waiting.values()].sort((a, b) => a.urgency - b.urgency || a.since - b.since)
  }

  /** Promotes adapters whose load should be over. */
  private _settle (now: Ms): void {
    for (const [key, slot] of this._slots) {
      if (slot.state !== 'in-transit' || now < slot.readyAt) continue
      slot.state = 'loaded'
      this._slowdown = Math.max(1, this._slowdown * 0.99)
      this._remember(key)
    }
  }

  /**
   * An engine starts empty after a crash. Its model is loaded before anybody asks, since
   * nobody sends requests to an engine without one. With several models, one that is asked
   * for goes first, then the first that fits.
   */
  private _modelToLoad (): string | undefined {
    if ([...this._models.values()].includes('in-transit')) return undefined
    const room = this._spec.weightsMb - this._spec.models.filter(({ name }) => this._models.has(name)).reduce((sum, { weightsMb }) => sum + weightsMb, 0)
    const absent = this._spec.models.filter(({ name, weightsMb }) => !this._models.has(name) && weightsMb <= room)
    const asked = absent.find(({ name }) => [...this._waiting.values()].some(({ want }) => want.model === name))
    return (asked ?? (this._models.size === 0 ? absent[0] : undefined))?.name
  }

  private _actionFor (want: AdapterWant, now: Ms): PlanAction | undefined {
    const { model, adapter } = want
    if (adapter === undefined || !this.holdsModel(model)) return undefined
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined && (slot.state !== 'loaded' || this._usable(slot, want, now))) return undefined
    if (this._inTransit() >= maxInTransit) return undefined
    // A newer version takes the slot of the older one.
    if (slot !== undefined) return { kind: 'load', target: want }
    if (this._slots.size < this._spec.adapterSlots && this._weightsFit(model)) return { kind: 'load', target: want }
    const victim = this._victim(now)
    return victim === undefined ? undefined : { kind: 'unload', target: { model: victim.model, adapter: victim.adapter } }
  }

  private _inTransit (): number {
    return [...this._slots.values()].filter(slot => slot.state === 'in-transit' || slot.state === 'unknown').length
  }

  private _weightsFit (model: string): boolean {
    const sizes = new Map(this._spec.models.map(spec => [spec.name, spec]))
    let used = sizes.get(model)?.adapterMb ?? 0
    for (const name of this._models.keys()) used += sizes.get(name)?.weightsMb ?? 0
    for (const slot of this._slots.values()) used += sizes.get(slot.model)?.adapterMb ?? 0
    return used <= this._spec.weightsMb
  }

  /** The least used adapter that nobody was promised. */
  private _victim (now: Ms): Slot | undefined {
    let worst: Slot | undefined
    let least = Infinity
    for (const [key, slot] of this._slots) {
      // An adapter that a request was promised must not go: the request would be refused
      // by the engine, or wait for a load that it was told is done.
      if (slot.state !== 'loaded' || slot.promisedUntil > now) continue
      const worth = this._popularity.read(key, now)
      if (worth >= least) continue
      worst = slot
      least = worth
    }
    return worst
  }

  /**
   * Takes the engine's word on an order.
   *
   * @param action - the order
   * @param outcome - undefined when no answer came
   * @param now - time
   */
  ordered (action: PlanAction & { readonly kind: 'load' | 'unload' }, outcome: OrderOutcome | undefined, now: Ms): void {
    switch (outcome) {
      case 'accepted':
      case 'holds':
        if (action.kind === 'load') this._loadAccepted(action.target, outcome, now)
        else this._unloadAccepted(action.target, outcome, now)
        return
      case undefined:
        // The order may have been taken, or may be carried out later; until a report shows
        // which, its slot counts as used, or one load too many could follow.
        if (action.kind === 'load') this._noteUnknown(action.target)
        this._askAgain(now + reportLag)
        return
      case 'conflict':
      case 'refused':
      case 'fenced':
      case 'other-instance':
        this._askAgain(now + reportLag)
        return
      default: assertNever(outcome)
    }
  }

  private _noteUnknown ({ model, adapter, version }: LoadTarget): void {
    if (adapter === undefined) this._models.set(model, 'unknown')
    else this._slots.set(slotKey(model, adapter), { model, adapter, version, state: 'unknown', readyAt: Infinity, promisedUntil: 0 })
  }

  private _loadAccepted ({ model, adapter, version }: LoadTarget, outcome: 'accepted' | 'holds', now: Ms): void {
    if (adapter === undefined) {
      this._models.set(model, outcome === 'holds' ? 'loaded' : 'in-transit')
      if (outcome === 'accepted') this._askAgain(now + Math.min(modelLoad, reportLag))
      return
    }
    const key = slotKey(model, adapter)
    const expected = (this._recent.has(key) ? recentLoad : freshLoad) * this._slowdown + loadMargin
    const before = this._slots.get(key)
    this._slots.set(key, {
      model,
      adapter,
      version,
      state: outcome === 'holds' ? 'loaded' : 'in-transit',
      readyAt: now + expected,
      promisedUntil: before?.promisedUntil ?? 0
    })
  }

  private _unloadAccepted ({ model, adapter }: LoadTarget, outcome: 'accepted' | 'holds', now: Ms): void {
    if (adapter === undefined) return
    const key = slotKey(model, adapter)
    const slot = this._slots.get(key)
    if (slot === undefined) return
    if (outcome === 'holds') {
      this._slots.delete(key)
      return
    }
    slot.state = 'unloading'
    this._askAgain(now + reportLag)
  }
}
