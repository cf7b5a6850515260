/**
 * Plans what one engine is ordered to load and unload, by the entry that orders it.
 */
import { assertNever, type Ms } from '@hazelford/core'
import type { EngineReport, EngineSpec, EngineModel, LoadTarget, EngineOrderOutcome } from '@hazelford/ports'
import { AdapterDemand, type RequestedAdapter, requestedAdapterKey, type DemandTerms } from './adapter-demand.js'
import { AdapterUses } from './adapter-uses.js'
import { LoadTimes } from './load-times.js'

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
  /** It is on its way, or waits for a slot. */
  | { readonly kind: 'coming' }
  /** Every slot is in use, or requests still run on an older version: another engine can have it sooner. */
  | { readonly kind: 'occupied' }

/**
 * A request starts well within this time after its entry was told that it may. From then on
 * the entry's word on what it uses keeps the adapter; each second more would keep a third of
 * the slots from adapters that somebody waits for.
 */
export const readyReservation: Ms = 300
/** Adapters that may be in transit to one engine; it fails beyond. */
const maxInTransit = 4
/** A report lags by some hundred ms; a later one shows the effect of an order. */
const reportLag: Ms = 250
const conflictPause: Ms = 100
/**
 * Times an order without an answer is sent again before the engine is asked for a report. With a third of
 * the orders unanswered, one order in 2,000 gets this far.
 */
const maxRepeats = 6
/** How soon a plan that found no slot looks again. */
const slotRetry: Ms = 50
/** An adapter just loaded stays this long, for those who waited for it. */
const settleTime: Ms = 150

interface Slot {
  readonly model: string
  readonly adapter: string
  version: number | undefined
  /**
   * - `in-transit`: accepted by the engine, which is asked from `readyAt` on whether it holds.
   * - `unloading`: the engine waits for its requests to end.
   * - `unknown`: an order had no answer.
   */
  state: 'loaded' | 'in-transit' | 'unloading' | 'unknown'
  /** When its load was ordered; of no meaning for one that is loaded or unloading. */
  orderedAt: Ms
  readyAt: Ms
  /** Whether its load was not over when it should have been. */
  late: boolean
  promisedUntil: Ms
}

/** How an adapter is asked for. */
export interface LoadRequestTerms extends DemandTerms {
  /** The engine has just refused a request for lack of it. */
  readonly missing: boolean
  /** Whether to stand in line when every slot is in use. */
  readonly mayWait: boolean
  /** Whether the same request has asked here before: it is one request all the same. */
  readonly repeated: boolean
}

function targetOf ({ model, adapter, version }: Slot): LoadTarget {
  return { model, adapter, ...(version === undefined ? {} : { version }) }
}

function slotKey (model: string, adapter: string): string { return `${model}/${adapter}` }

/** Loads, unloads and promises of one engine. Reads no clock; each call names the time. */
export class AdapterPlan {
  private _slots = new Map<string, Slot>()
  private _models = new Map<string, 'loaded' | 'in-transit' | 'unknown'>()
  private readonly _demand = new AdapterDemand()
  private readonly _uses = new AdapterUses()
  private readonly _times = new LoadTimes()
  /** An order without an answer; it is sent again before any other. */
  private _unanswered: PlanAction & { readonly kind: 'load' | 'unload' } | undefined
  private _repeats = 0
  private _mustReport = true
  private _reportAt: Ms = 0
  private _orders = 0

  constructor (private readonly _spec: EngineSpec) {}

  /** Adapters loaded, on their way or leaving: all of them hold slots. */
  get slotsUsed (): number { return this._slots.size }

  get waiting (): number { return this._demand.size }

  /** Orders that the engine has counted, which the next one names as what it is based on. */
  get orders (): number { return this._orders }

  hasModelLoaded (model: string): boolean { return this._models.get(model) === 'loaded' }

  /**
   * Takes what the engine says it holds.
   *
   * @param report - asked for at `askedAt`
   * @param askedAt - time
   */
  applyReport (report: EngineReport, askedAt: Ms): void {
    this._unanswered = undefined
    this._orders = report.orders
    const held = this._slots
    this._slots = new Map()
    this._models = new Map(report.models.map(({ model }) => [model, 'loaded']))
    this._mustReport = false
    for (const model of report.models) this._takeModel(model, held, askedAt)
    for (const { model, adapter, version } of report.coming) {
      const key = slotKey(model, adapter)
      const before = held.get(key)
      const ordered = before?.state === 'in-transit' || before?.state === 'unknown' ? before : undefined
      this._slots.set(key, { model, adapter, version, state: 'in-transit', orderedAt: ordered?.orderedAt ?? askedAt, readyAt: Math.max(ordered?.readyAt ?? 0, askedAt + this._times.shortest), late: false, promisedUntil: 0 })
    }
    // An order that was accepted after the report's values were read isn't in it yet.
    for (const [key, slot] of held) {
      if (slot.state === 'in-transit' && slot.readyAt > askedAt - reportLag && !this._slots.has(key)) this._slots.set(key, slot)
    }
    if (report.busy) this._askAgain(askedAt + reportLag)
  }

  private _takeModel ({ model, adapters }: EngineModel, held: ReadonlyMap<string, Slot>, askedAt: Ms): void {
    for (const { adapter, version } of adapters) {
      const key = slotKey(model, adapter)
      const before = held.get(key)
      const leaving = before?.state === 'unloading'
      if (leaving) this._askAgain(askedAt + reportLag)
      this._slots.set(key, { model, adapter, version, state: leaving ? 'unloading' : 'loaded', orderedAt: 0, readyAt: -Infinity, late: false, promisedUntil: before?.promisedUntil ?? 0 })
      this._times.remember(key)
    }
  }

  private _askAgain (at: Ms): void {
    this._mustReport = true
    this._reportAt = at
  }

  /**
   * Takes an entry's word on the adapters that its open requests use here.
   *
   * An adapter that is unloaded under its requests stays until they end, and refuses new
   * ones all that time; its slot is gained no sooner.
   *
   * @param entry - who says so
   * @param keys - `model/adapter`
   * @param now - time
   */
  recordUse (entry: string, keys: Iterable<string>, now: Ms): void {
    this._uses.note(entry, keys, now)
  }

  /** Notes a request that is about to use an adapter, until its entry's next word. */
  addUse (entry: string, model: string, adapter: string, now: Ms): void {
    this._uses.add(entry, slotKey(model, adapter), now)
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined) slot.promisedUntil = Math.max(slot.promisedUntil, now + readyReservation)
  }

  /**
   * Keeps an adapter for a request that waits for a place. Unloaded meanwhile, it would have to be loaded anew for a request
   * that was told it is there.
   */
  extendReservation (model: string, adapter: string, until: Ms): void {
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined) slot.promisedUntil = Math.max(slot.promisedUntil, until)
  }

  /**
   * Asks for an adapter, or for a model alone.
   *
   * @param want - in the version declared, if one is
   * @param terms - how urgent, for how long
   * @param now - time
   */
  requestAdapter (want: RequestedAdapter, terms: LoadRequestTerms, now: Ms): Readiness {
    const key = requestedAdapterKey(want)
    if (!terms.repeated) this._demand.count(key, now)
    const slot = this._slots.get(key)
    if (terms.missing && slot !== undefined) this._distrust(slot, now)
    const ready = this.reserve(want, now)
    if (ready !== undefined) return ready
    if (!terms.mayWait && this._occupied(key, slot, now)) return { kind: 'occupied' }
    this._demand.enqueue(want, terms, now)
    return { kind: 'coming' }
  }

  /** Whether it takes the end of somebody's requests to make room. */
  private _occupied (key: string, slot: Slot | undefined, now: Ms): boolean {
    if (slot !== undefined) return slot.state === 'unloading' || (slot.state === 'loaded' && this._uses.inUse(key, now))
    const ahead = this._demand.keys().filter(other => !this._slots.has(other)).length
    const free = this._spec.adapterSlots - this._slots.size - ahead
    return free <= 0 && this._victims(now) <= ahead
  }

  private _victims (now: Ms): number {
    let victims = 0
    for (const [key, slot] of this._slots) if (this._mayGo(key, slot, now)) victims++
    return victims
  }

  /**
   * Promises an adapter or a model that can be used now.
   *
   * @returns undefined when it can't be
   */
  reserve (want: RequestedAdapter, now: Ms): Readiness & { readonly kind: 'ready' } | undefined {
    const key = requestedAdapterKey(want)
    if (want.adapter === undefined) {
      if (!this.hasModelLoaded(want.model)) return undefined
      this._demand.served(key)
      return { kind: 'ready', until: now + readyReservation, version: undefined }
    }
    const slot = this._slots.get(key)
    if (slot === undefined || !this._usable(slot, want)) return undefined
    slot.promisedUntil = Math.max(slot.promisedUntil, now + readyReservation)
    this._demand.served(key)
    return { kind: 'ready', until: slot.promisedUntil, version: slot.version }
  }

  hasAdapterSlot (model: string, adapter: string): boolean { return this._slots.has(slotKey(model, adapter)) }

  private _usable (slot: Slot, want: RequestedAdapter): boolean {
    if (want.version !== undefined && (slot.version ?? 0) < want.version) return false
    return slot.state === 'loaded'
  }

  /** The engine lacks what the plan took for loaded: the load is late, or its view is wrong. */
  private _distrust (slot: Slot, now: Ms): void {
    slot.state = 'unknown'
    slot.orderedAt = now
    slot.readyAt = now
    this._askAgain(now)
  }

  /** When the next load should be over; undefined when none is under way. */
  nextLoadDueAt (now: Ms): Ms | undefined {
    let next: Ms | undefined
    for (const slot of this._slots.values()) {
      if (slot.state === 'in-transit' && slot.readyAt > now) next = Math.min(next ?? Infinity, slot.readyAt)
    }
    return next
  }

  /**
   * Decides the next order. One order is under way at any time.
   *
   * @param now - time
   */
  nextAction (now: Ms): PlanAction {
    this._demand.dropExpired(now)
    if (this._mustReport) return now >= this._reportAt ? { kind: 'report' } : { kind: 'idle', until: this._reportAt }
    if (this._unanswered !== undefined) return this._unanswered
    const due = this._dueConfirmation(now)
    if (due !== undefined) return due
    const model = this._modelToLoad()
    if (model !== undefined) return { kind: 'load', target: { model } }
    for (const { want } of this._demand.inOrder(now)) {
      const action = want.adapter === undefined ? undefined : this._actionFor(want, now)
      if (action !== undefined) return action
    }
    // A waiting adapter may need a slot whose promise runs out.
    const retry = this._demand.size > 0 ? now + slotRetry : Infinity
    return { kind: 'idle', until: Math.min(retry, this.nextLoadDueAt(now) ?? Infinity) }
  }

  /**
   * A load whose time should be over. Its order is sent once more: the engine says at once
   * whether it holds, while a report lags by some hundred ms.
   */
  private _dueConfirmation (now: Ms): PlanAction | undefined {
    for (const slot of this._slots.values()) {
      if (slot.state === 'in-transit' && now >= slot.readyAt) return { kind: 'load', target: targetOf(slot) }
    }
    return undefined
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
    const asked = absent.find(({ name }) => this._demand.waitsForModel(name))
    return (asked ?? (this._models.size === 0 ? absent[0] : undefined))?.name
  }

  private _actionFor (want: RequestedAdapter, now: Ms): PlanAction | undefined {
    const { model, adapter } = want
    if (adapter === undefined || !this.hasModelLoaded(model)) return undefined
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined && (slot.state !== 'loaded' || this._usable(slot, want))) return undefined
    if (this._inTransit() >= maxInTransit || !this._storeHasRoom(want)) return undefined
    // A newer version takes the slot of the older one, once its requests have ended: until
    // then the engine would refuse new ones.
    if (slot !== undefined) return this._uses.inUse(slotKey(model, adapter), now) ? undefined : { kind: 'load', target: want }
    if (this._slots.size < this._spec.adapterSlots && this._weightsFit(model)) return { kind: 'load', target: want }
    const victim = this._victim(now)
    return victim === undefined ? undefined : { kind: 'unload', target: { model: victim.model, adapter: victim.adapter } }
  }

  private _inTransit (): number {
    return [...this._slots.values()].filter(slot => slot.state === 'in-transit' || slot.state === 'unknown').length
  }

  /**
   * Whether a load from the weight store would only slow down those under way.
   *
   * The store shares its rate between all loads of all engines. Beyond what it can feed,
   * more loads at once bring no adapter sooner and each one later.
   */
  private _storeHasRoom ({ model, adapter }: RequestedAdapter): boolean {
    if (this._times.isRecent(slotKey(model, adapter ?? ''))) return true
    const fresh = [...this._slots].filter(([key, slot]) => slot.state === 'in-transit' && !this._times.isRecent(key)).length
    return fresh < Math.max(1, Math.floor(maxInTransit / Math.max(1, this._times.slowdown) ** 2))
  }

  private _weightsFit (model: string): boolean {
    const sizes = new Map(this._spec.models.map(spec => [spec.name, spec]))
    let used = sizes.get(model)?.adapterMb ?? 0
    for (const name of this._models.keys()) used += sizes.get(name)?.weightsMb ?? 0
    for (const slot of this._slots.values()) used += sizes.get(slot.model)?.adapterMb ?? 0
    return used <= this._spec.weightsMb
  }

  /**
   * Whether an adapter may be unloaded.
   *
   * One that a request was promised must not go: the request would be refused by the
   * engine, or wait for a load that it was told is done.
   */
  private _mayGo (key: string, slot: Slot, now: Ms): boolean {
    return slot.state === 'loaded' && slot.promisedUntil <= now && !this._demand.waits(key) && !this._uses.inUse(key, now)
  }

  /** The least used adapter that may go. */
  private _victim (now: Ms): Slot | undefined {
    let worst: Slot | undefined
    let least = Infinity
    for (const [key, slot] of this._slots) {
      if (!this._mayGo(key, slot, now)) continue
      const worth = this._demand.popularity(key, now)
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
  recordOrderOutcome (action: PlanAction & { readonly kind: 'load' | 'unload' }, outcome: EngineOrderOutcome | undefined, now: Ms): void {
    this._unanswered = undefined
    switch (outcome) {
      case 'accepted':
      case 'holds':
        this._repeats = 0
        if (this._isCounted(action, outcome)) this._orders++
        if (action.kind === 'load') this._loadAccepted(action.target, outcome, now)
        else this._unloadAccepted(action.target, outcome, now)
        return
      case undefined:
        this._noAnswer(action, now)
        return
      case 'conflict':
        // Reports lag; the order that was counted may be too young to be in one yet.
        this._askAgain(now + conflictPause)
        return
      case 'refused':
      case 'fenced':
      case 'other-instance':
        this._askAgain(now + reportLag)
        return
      default: assertNever(outcome)
    }
  }

  /**
   * Whether the engine counts an order that it took.
   *
   * A load that is under way, asked after again, is accepted once more but changes nothing and is
   * not counted. Counted here, it made the engine refuse the next order as based on another
   * view, at the price of a report and of a time in which nothing could be loaded there.
   */
  private _isCounted (action: PlanAction & { readonly kind: 'load' | 'unload' }, outcome: 'accepted' | 'holds'): boolean {
    if (action.kind === 'unload') return true
    const { model, adapter } = action.target
    const isRepeat = adapter !== undefined && this._slots.get(slotKey(model, adapter))?.state === 'in-transit'
    return outcome === 'accepted' && !isRepeat
  }

  /**
   * An order that got no answer may have been taken, or may be carried out seconds later.
   *
   * Sent again on the same view of the engine, it settles both: taken, the engine has
   * counted it and refuses the second; not taken, the second is counted and the engine
   * refuses the first whenever it comes. Until then a load counts as holding its slot,
   * or one too many could follow.
   */
  private _noAnswer (action: PlanAction & { readonly kind: 'load' | 'unload' }, now: Ms): void {
    if (action.kind === 'load') this._noteUnknown(action.target, now)
    if (++this._repeats > maxRepeats) {
      this._repeats = 0
      this._askAgain(now + reportLag)
    } else {
      this._unanswered = action
    }
  }

  private _noteUnknown ({ model, adapter, version }: LoadTarget, now: Ms): void {
    if (adapter === undefined) this._models.set(model, 'unknown')
    else if (!this._slots.has(slotKey(model, adapter))) this._slots.set(slotKey(model, adapter), { model, adapter, version, state: 'unknown', orderedAt: now, readyAt: now, late: false, promisedUntil: 0 })
  }

  private _loadAccepted ({ model, adapter, version }: LoadTarget, outcome: 'accepted' | 'holds', now: Ms): void {
    if (adapter === undefined) {
      this._models.set(model, outcome === 'holds' ? 'loaded' : 'in-transit')
      if (outcome === 'accepted') this._askAgain(now + reportLag)
      return
    }
    const key = slotKey(model, adapter)
    const before = this._slots.get(key)
    const confirms = before?.state === 'in-transit'
    const slot: Slot = before ?? { model, adapter, version, state: 'in-transit', orderedAt: now, readyAt: now, late: false, promisedUntil: 0 }
    slot.version = version ?? slot.version
    this._slots.set(key, slot)
    if (outcome === 'holds') this._loadEnded(key, slot, now)
    else if (confirms) this._loadLate(slot, now)
    else this._loadBegun(key, slot, now)
  }

  private _loadBegun (key: string, slot: Slot, now: Ms): void {
    slot.state = 'in-transit'
    slot.orderedAt = now
    slot.late = false
    slot.readyAt = now + this._times.expected(key)
  }

  private _loadLate (slot: Slot, now: Ms): void {
    slot.late = true
    slot.readyAt = now + this._times.retryAfter(now - slot.orderedAt)
  }

  private _loadEnded (key: string, slot: Slot, now: Ms): void {
    if (slot.state === 'in-transit') this._times.learn(key, now - slot.orderedAt, slot.late)
    slot.state = 'loaded'
    slot.promisedUntil = Math.max(slot.promisedUntil, now + settleTime)
    this._times.remember(key)
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
