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
const conflictBackoff: Ms = 100
/**
 * Times an order without an answer is sent again before the engine is asked for a report. With a third of
 * the orders unanswered, one order in 2,000 gets this far.
 */
const maxOrderRetries = 6
/** How soon a plan that found no slot looks again. */
const slotRetryInterval: Ms = 50
/** An adapter just loaded stays this long, for those who waited for it. */
const loadedReservation: Ms = 150

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
  isLate: boolean
  reservedUntil: Ms
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
  private readonly _loadTimes = new LoadTimes()
  /** An order without an answer; it is sent again before any other. */
  private _unansweredOrder: PlanAction & { readonly kind: 'load' | 'unload' } | undefined
  private _orderRetries = 0
  private _needsReport = true
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
    this._unansweredOrder = undefined
    this._orders = report.orders
    const previous = this._slots
    this._slots = new Map()
    this._models = new Map(report.models.map(({ model }) => [model, 'loaded']))
    this._needsReport = false
    for (const model of report.models) this._applyModelReport(model, previous, askedAt)
    for (const { model, adapter, version } of report.coming) {
      const key = slotKey(model, adapter)
      const before = previous.get(key)
      const ordered = before?.state === 'in-transit' || before?.state === 'unknown' ? before : undefined
      this._slots.set(key, { model, adapter, version, state: 'in-transit', orderedAt: ordered?.orderedAt ?? askedAt, readyAt: Math.max(ordered?.readyAt ?? 0, askedAt + this._loadTimes.shortest), isLate: false, reservedUntil: 0 })
    }
    // An order that was accepted after the report's values were read isn't in it yet.
    for (const [key, slot] of previous) {
      if (slot.state === 'in-transit' && slot.readyAt > askedAt - reportLag && !this._slots.has(key)) this._slots.set(key, slot)
    }
    if (report.busy) this._scheduleReport(askedAt + reportLag)
  }

  private _applyModelReport ({ model, adapters }: EngineModel, previous: ReadonlyMap<string, Slot>, askedAt: Ms): void {
    for (const { adapter, version } of adapters) {
      const key = slotKey(model, adapter)
      const before = previous.get(key)
      const leaving = before?.state === 'unloading'
      if (leaving) this._scheduleReport(askedAt + reportLag)
      this._slots.set(key, { model, adapter, version, state: leaving ? 'unloading' : 'loaded', orderedAt: 0, readyAt: -Infinity, isLate: false, reservedUntil: before?.reservedUntil ?? 0 })
      this._loadTimes.markRecent(key)
    }
  }

  private _scheduleReport (at: Ms): void {
    this._needsReport = true
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
    if (slot !== undefined) slot.reservedUntil = Math.max(slot.reservedUntil, now + readyReservation)
  }

  /**
   * Keeps an adapter for a request that waits for a place. Unloaded meanwhile, it would have to be loaded anew for a request
   * that was told it is there.
   */
  extendReservation (model: string, adapter: string, until: Ms): void {
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined) slot.reservedUntil = Math.max(slot.reservedUntil, until)
  }

  /**
   * Asks for an adapter, or for a model alone.
   *
   * @param requested - in the version declared, if one is
   * @param terms - how urgent, for how long
   * @param now - time
   */
  requestAdapter (requested: RequestedAdapter, terms: LoadRequestTerms, now: Ms): Readiness {
    const key = requestedAdapterKey(requested)
    if (!terms.repeated) this._demand.count(key, now)
    const slot = this._slots.get(key)
    if (terms.missing && slot !== undefined) this._invalidate(slot, now)
    const ready = this.reserve(requested, now)
    if (ready !== undefined) return ready
    if (!terms.mayWait && this._isOccupied(key, slot, now)) return { kind: 'occupied' }
    this._demand.enqueue(requested, terms, now)
    return { kind: 'coming' }
  }

  /** Whether it takes the end of somebody's requests to make room. */
  private _isOccupied (key: string, slot: Slot | undefined, now: Ms): boolean {
    if (slot !== undefined) return slot.state === 'unloading' || (slot.state === 'loaded' && this._uses.inUse(key, now))
    const ahead = this._demand.keys().filter(other => !this._slots.has(other)).length
    const free = this._spec.adapterSlots - this._slots.size - ahead
    return free <= 0 && this._countEvictable(now) <= ahead
  }

  private _countEvictable (now: Ms): number {
    let count = 0
    for (const [key, slot] of this._slots) if (this._isEvictable(key, slot, now)) count++
    return count
  }

  /**
   * Promises an adapter or a model that can be used now.
   *
   * @returns undefined when it can't be
   */
  reserve (requested: RequestedAdapter, now: Ms): Readiness & { readonly kind: 'ready' } | undefined {
    const key = requestedAdapterKey(requested)
    if (requested.adapter === undefined) {
      if (!this.hasModelLoaded(requested.model)) return undefined
      this._demand.remove(key)
      return { kind: 'ready', until: now + readyReservation, version: undefined }
    }
    const slot = this._slots.get(key)
    if (slot === undefined || !this._isUsable(slot, requested)) return undefined
    slot.reservedUntil = Math.max(slot.reservedUntil, now + readyReservation)
    this._demand.remove(key)
    return { kind: 'ready', until: slot.reservedUntil, version: slot.version }
  }

  hasAdapterSlot (model: string, adapter: string): boolean { return this._slots.has(slotKey(model, adapter)) }

  private _isUsable (slot: Slot, requested: RequestedAdapter): boolean {
    if (requested.version !== undefined && (slot.version ?? 0) < requested.version) return false
    return slot.state === 'loaded'
  }

  /** The engine lacks what the plan took for loaded: the load is late, or its view is wrong. */
  private _invalidate (slot: Slot, now: Ms): void {
    slot.state = 'unknown'
    slot.orderedAt = now
    slot.readyAt = now
    this._scheduleReport(now)
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
    if (this._needsReport) return now >= this._reportAt ? { kind: 'report' } : { kind: 'idle', until: this._reportAt }
    if (this._unansweredOrder !== undefined) return this._unansweredOrder
    const due = this._loadToConfirm(now)
    if (due !== undefined) return due
    const model = this._modelToLoad()
    if (model !== undefined) return { kind: 'load', target: { model } }
    for (const { want } of this._demand.byPriority(now)) {
      const action = want.adapter === undefined ? undefined : this._actionFor(want, now)
      if (action !== undefined) return action
    }
    // A waiting adapter may need a slot whose promise runs out.
    const retry = this._demand.size > 0 ? now + slotRetryInterval : Infinity
    return { kind: 'idle', until: Math.min(retry, this.nextLoadDueAt(now) ?? Infinity) }
  }

  /**
   * A load whose time should be over. Its order is sent once more: the engine says at once
   * whether it holds, while a report lags by some hundred ms.
   */
  private _loadToConfirm (now: Ms): PlanAction | undefined {
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
    const requested = absent.find(({ name }) => this._demand.isModelPending(name))
    return (requested ?? (this._models.size === 0 ? absent[0] : undefined))?.name
  }

  private _actionFor (requested: RequestedAdapter, now: Ms): PlanAction | undefined {
    const { model, adapter } = requested
    if (adapter === undefined || !this.hasModelLoaded(model)) return undefined
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined && (slot.state !== 'loaded' || this._isUsable(slot, requested))) return undefined
    if (this._inTransit() >= maxInTransit || !this._storeHasRoom(requested)) return undefined
    // A newer version takes the slot of the older one, once its requests have ended: until
    // then the engine would refuse new ones.
    if (slot !== undefined) return this._uses.inUse(slotKey(model, adapter), now) ? undefined : { kind: 'load', target: requested }
    if (this._slots.size < this._spec.adapterSlots && this._weightsFit(model)) return { kind: 'load', target: requested }
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
    if (this._loadTimes.isRecent(slotKey(model, adapter ?? ''))) return true
    const fresh = [...this._slots].filter(([key, slot]) => slot.state === 'in-transit' && !this._loadTimes.isRecent(key)).length
    return fresh < Math.max(1, Math.floor(maxInTransit / Math.max(1, this._loadTimes.slowdown) ** 2))
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
  private _isEvictable (key: string, slot: Slot, now: Ms): boolean {
    return slot.state === 'loaded' && slot.reservedUntil <= now && !this._demand.isPending(key) && !this._uses.inUse(key, now)
  }

  /** The least used adapter that may go. */
  private _victim (now: Ms): Slot | undefined {
    let worst: Slot | undefined
    let least = Infinity
    for (const [key, slot] of this._slots) {
      if (!this._isEvictable(key, slot, now)) continue
      const popularity = this._demand.popularity(key, now)
      if (popularity >= least) continue
      worst = slot
      least = popularity
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
    this._unansweredOrder = undefined
    switch (outcome) {
      case 'accepted':
      case 'holds':
        this._orderRetries = 0
        if (this._isCounted(action, outcome)) this._orders++
        if (action.kind === 'load') this._loadAccepted(action.target, outcome, now)
        else this._unloadAccepted(action.target, outcome, now)
        return
      case undefined:
        this._handleNoAnswer(action, now)
        return
      case 'conflict':
        // Reports lag; the order that was counted may be too young to be in one yet.
        this._scheduleReport(now + conflictBackoff)
        return
      case 'refused':
      case 'fenced':
      case 'other-instance':
        this._scheduleReport(now + reportLag)
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
  private _handleNoAnswer (action: PlanAction & { readonly kind: 'load' | 'unload' }, now: Ms): void {
    if (action.kind === 'load') this._recordUnknown(action.target, now)
    if (++this._orderRetries > maxOrderRetries) {
      this._orderRetries = 0
      this._scheduleReport(now + reportLag)
    } else {
      this._unansweredOrder = action
    }
  }

  private _recordUnknown ({ model, adapter, version }: LoadTarget, now: Ms): void {
    if (adapter === undefined) this._models.set(model, 'unknown')
    else if (!this._slots.has(slotKey(model, adapter))) this._slots.set(slotKey(model, adapter), { model, adapter, version, state: 'unknown', orderedAt: now, readyAt: now, isLate: false, reservedUntil: 0 })
  }

  private _loadAccepted ({ model, adapter, version }: LoadTarget, outcome: 'accepted' | 'holds', now: Ms): void {
    if (adapter === undefined) {
      this._models.set(model, outcome === 'holds' ? 'loaded' : 'in-transit')
      if (outcome === 'accepted') this._scheduleReport(now + reportLag)
      return
    }
    const key = slotKey(model, adapter)
    const before = this._slots.get(key)
    const confirms = before?.state === 'in-transit'
    const slot: Slot = before ?? { model, adapter, version, state: 'in-transit', orderedAt: now, readyAt: now, isLate: false, reservedUntil: 0 }
    slot.version = version ?? slot.version
    this._slots.set(key, slot)
    if (outcome === 'holds') this._loadEnded(key, slot, now)
    else if (confirms) this._loadLate(slot, now)
    else this._loadStarted(key, slot, now)
  }

  private _loadStarted (key: string, slot: Slot, now: Ms): void {
    slot.state = 'in-transit'
    slot.orderedAt = now
    slot.isLate = false
    slot.readyAt = now + this._loadTimes.expected(key)
  }

  private _loadLate (slot: Slot, now: Ms): void {
    slot.isLate = true
    slot.readyAt = now + this._loadTimes.retryAfter(now - slot.orderedAt)
  }

  private _loadEnded (key: string, slot: Slot, now: Ms): void {
    if (slot.state === 'in-transit') this._loadTimes.record(key, now - slot.orderedAt, slot.isLate)
    slot.state = 'loaded'
    slot.reservedUntil = Math.max(slot.reservedUntil, now + loadedReservation)
    this._loadTimes.markRecent(key)
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
    this._scheduleReport(now + reportLag)
  }
}
