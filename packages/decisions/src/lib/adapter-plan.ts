/**
 * Plans the load and unload orders for one engine, for the entry that is its holder.
 */
import { assertNever, type Ms } from '@hazelford/core'
import type { EngineReport, EngineSpec, EngineModel, LoadTarget, EngineOrderOutcome } from '@hazelford/ports'
import { AdapterDemand, type RequestedAdapter, requestedAdapterKey, type DemandTerms } from './adapter-demand.js'
import { AdapterUses } from './adapter-uses.js'
import { LoadTimes } from './load-times.js'
import { SlotTurnover } from './slot-turnover.js'

/** Next action of the plan. */
export type PlanAction =
  | { readonly kind: 'load', readonly target: LoadTarget }
  | { readonly kind: 'unload', readonly target: LoadTarget }
  /** The engine must be asked for a report of its loaded adapters. */
  | { readonly kind: 'report' }
  /** Nothing to do before `until`, or before an adapter is requested. */
  | { readonly kind: 'idle', readonly until: Ms }

/** Answer to a load request. */
export type Readiness =
  /** Requests for the adapter may be sent until `until`; it isn't unloaded before. */
  | { readonly kind: 'ready', readonly until: Ms, readonly version: number | undefined }
  /** The adapter is being loaded, or waits for an adapter slot. */
  | { readonly kind: 'coming' }
  /**
   * Every adapter slot is in use, or requests still run on an older version: another engine can have the adapter
   * sooner. `wait`: ms until the adapter is expected to be loaded here, if that can be predicted.
   */
  | { readonly kind: 'occupied', readonly wait?: Ms }

/**
 * Time for which an adapter stays loaded for a request whose entry was notified that it may send it; requests start
 * well within it. From then on the entry's reports on the adapters that it uses keep the adapter. Each second more
 * would keep a third of the adapter slots from adapters that requests wait for.
 */
export const readyReservation: Ms = 300
/** Adapters that one engine may load at a time; with more, the engine fails. */
const maxInTransit = 4
/** Pause before the engine is asked for a report. Reports lag by some hundred ms, and a later one shows the last order's effect. */
const reportLag: Ms = 250
const conflictBackoff: Ms = 100
/**
 * Times that an order without an answer is sent again before the engine is asked for a report. With a third of the
 * orders unanswered, one order in 2,000 gets this far.
 */
const maxOrderRetries = 6
/** Pause after which the plan looks for an adapter slot again, when there was none. */
const slotRetryInterval: Ms = 50
/** Time for which an adapter that has just been loaded is kept for the requests that waited for it. */
const loadedReservation: Ms = 150

interface Slot {
  readonly model: string
  readonly adapter: string
  version: number | undefined
  /**
   * - `in-transit`: the engine has accepted the load order; from `readyAt` on it is asked whether the adapter is
   *   loaded.
   * - `unloading`: the engine waits for the adapter's requests to end.
   * - `unknown`: an order had no answer.
   */
  state: 'loaded' | 'in-transit' | 'unloading' | 'unknown'
  /** When the load was ordered; without meaning for a slot that is loaded or unloading. */
  orderedAt: Ms
  readyAt: Ms
  /** Whether the load has taken longer than expected. */
  isLate: boolean
  reservedUntil: Ms
}

/** Terms of one load request. */
export interface LoadRequestTerms extends DemandTerms {
  /** Whether the engine has just refused a request because it lacks the adapter. */
  readonly missing: boolean
  /** Whether the request waits when every adapter slot is in use; if not, the answer is `occupied`. */
  readonly mayWait: boolean
  /** Whether the same request has asked before. It is not counted as a further request then. */
  readonly repeated: boolean
}

function targetOf ({ model, adapter, version }: Slot): LoadTarget {
  return { model, adapter, ...(version === undefined ? {} : { version }) }
}

function slotKey (model: string, adapter: string): string { return `${model}/${adapter}` }

/** Loads, unloads and reservations of the adapters of one engine. It reads no clock; each call passes the time. */
export class AdapterPlan {
  private _slots = new Map<string, Slot>()
  private _models = new Map<string, 'loaded' | 'in-transit' | 'unknown'>()
  private readonly _demand = new AdapterDemand()
  private readonly _uses = new AdapterUses()
  private readonly _loadTimes = new LoadTimes()
  private readonly _turnover = new SlotTurnover()
  /** The order that got no answer; it is sent again before any other. */
  private _unansweredOrder: PlanAction & { readonly kind: 'load' | 'unload' } | undefined
  private _orderRetries = 0
  private _needsReport = true
  private _reportAt: Ms = 0
  private _orders = 0

  constructor (private readonly _spec: EngineSpec) {}

  /** Adapters that are loaded, loading or unloading; each of them occupies an adapter slot. */
  get slotsUsed (): number { return this._slots.size }

  get waiting (): number { return this._demand.size }

  /**
   * Number of orders that the engine has counted. The next order names it, and the engine refuses an order that names
   * another number: it is based on an outdated state of the engine.
   */
  get orders (): number { return this._orders }

  hasModelLoaded (model: string): boolean { return this._models.get(model) === 'loaded' }

  /**
   * Applies the engine's report of its loaded adapters.
   *
   * @param report - the engine's report
   * @param askedAt - time at which the engine was asked for it
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
    // A report lags and lacks orders that the engine accepted shortly before it was asked, so their slots are kept.
    for (const [key, slot] of previous) {
      if (slot.state === 'in-transit' && slot.readyAt > askedAt - reportLag && !this._slots.has(key)) this._slots.set(key, slot)
    }
    if (report.busy) this._scheduleReport(askedAt + reportLag)
  }

  private _applyModelReport ({ model, adapters }: EngineModel, previous: ReadonlyMap<string, Slot>, askedAt: Ms): void {
    for (const { adapter, version } of adapters) {
      const key = slotKey(model, adapter)
      const before = previous.get(key)
      const isUnloading = before?.state === 'unloading'
      if (isUnloading) this._scheduleReport(askedAt + reportLag)
      this._slots.set(key, { model, adapter, version, state: isUnloading ? 'unloading' : 'loaded', orderedAt: 0, readyAt: -Infinity, isLate: false, reservedUntil: before?.reservedUntil ?? 0 })
      this._loadTimes.markRecent(key)
    }
  }

  private _scheduleReport (at: Ms): void {
    this._needsReport = true
    this._reportAt = at
  }

  /**
   * Records the adapters that the open requests of an entry use at this engine.
   *
   * An adapter that is unloaded while requests use it stays loaded until they end, and refuses new requests for all
   * that time. Its slot becomes free no sooner, so such an adapter is not unloaded.
   *
   * @param entry - the entry that reports
   * @param keys - `model/adapter`
   * @param now - time
   */
  recordUse (entry: string, keys: Iterable<string>, now: Ms): void {
    this._uses.recordReport(entry, keys, now)
  }

  /** Records a request that is about to use an adapter, until its entry's next report. */
  addUse (entry: string, model: string, adapter: string, now: Ms): void {
    this._uses.add(entry, slotKey(model, adapter), now)
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined) slot.reservedUntil = Math.max(slot.reservedUntil, now + readyReservation)
  }

  /**
   * Extends the reservation of an adapter for a request that waits for a batch slot. Unloaded meanwhile, the adapter
   * would have to be loaded anew for a request whose entry was notified that it is loaded.
   */
  extendReservation (model: string, adapter: string, until: Ms): void {
    const slot = this._slots.get(slotKey(model, adapter))
    if (slot !== undefined) slot.reservedUntil = Math.max(slot.reservedUntil, until)
  }

  /**
   * Requests an adapter, or a model alone.
   *
   * @param requested - with a version, if one is declared
   * @param terms - priority and deadlines
   * @param now - time
   */
  requestAdapter (requested: RequestedAdapter, terms: LoadRequestTerms, now: Ms): Readiness {
    const key = requestedAdapterKey(requested)
    if (!terms.repeated) this._demand.count(key, now)
    const slot = this._slots.get(key)
    if (terms.missing && slot !== undefined) this._invalidate(slot, now)
    const ready = this.reserve(requested, now)
    if (ready !== undefined) return ready
    const isOccupied = this._isOccupied(key, slot, now)
    const ahead = isOccupied && slot === undefined && !this._demand.isPending(key) ? this._demand.countAhead(requested, terms, now, other => !this._slots.has(other)) : undefined
    if (!terms.mayWait && isOccupied) return this._occupied(key, ahead, now)
    if (ahead !== undefined) this._turnover.beginWait(key, ahead, now)
    this._demand.enqueue(requested, terms, now)
    return { kind: 'coming' }
  }

  /** Whether an adapter slot becomes free only when running requests end. */
  private _isOccupied (key: string, slot: Slot | undefined, now: Ms): boolean {
    if (slot !== undefined) return slot.state === 'unloading' || (slot.state === 'loaded' && this._uses.inUse(key, now))
    const ahead = this._demand.keys().filter(other => !this._slots.has(other)).length
    const free = this._spec.adapterSlots - this._slots.size - ahead
    return free <= 0 && this._countEvictable(now) <= ahead
  }

  private _occupied (key: string, ahead: number | undefined, now: Ms): Readiness {
    const wait = ahead === undefined ? undefined : this._turnover.expectedWait(ahead, now)
    return { kind: 'occupied', ...(wait === undefined ? {} : { wait: wait + this._loadTimes.expected(key) }) }
  }

  private _countEvictable (now: Ms): number {
    let count = 0
    for (const [key, slot] of this._slots) if (this._isEvictable(key, slot, now)) count++
    return count
  }

  /**
   * Reserves an adapter or a model that can be used now.
   *
   * @returns undefined when it can't be used now
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

  /** The engine lacks an adapter that the plan counts as loaded: its load is late, or the plan's record of the engine is wrong. */
  private _invalidate (slot: Slot, now: Ms): void {
    slot.state = 'unknown'
    slot.orderedAt = now
    slot.readyAt = now
    this._scheduleReport(now)
  }

  /** Time at which the next load is expected to end; undefined when none runs. */
  nextLoadDueAt (now: Ms): Ms | undefined {
    let next: Ms | undefined
    for (const slot of this._slots.values()) {
      if (slot.state === 'in-transit' && slot.readyAt > now) next = Math.min(next ?? Infinity, slot.readyAt)
    }
    return next
  }

  /**
   * Decides the next action. At most one order is in progress at any time.
   *
   * @param now - time
   */
  nextAction (now: Ms): PlanAction {
    for (const key of this._demand.dropExpired(now)) this._turnover.endWait(key, now)
    this._turnover.recordWaiting(this._demand.keys().some(key => !this._slots.has(key)), now)
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
    // The slot for a pending adapter may be reserved now and free when the reservation ends.
    const retry = this._demand.size > 0 ? now + slotRetryInterval : Infinity
    return { kind: 'idle', until: Math.min(retry, this.nextLoadDueAt(now) ?? Infinity) }
  }

  /**
   * A load that should have ended. Its order is sent once more: the engine answers at once whether the adapter is
   * loaded, while a report lags by some hundred ms.
   */
  private _loadToConfirm (now: Ms): PlanAction | undefined {
    for (const slot of this._slots.values()) {
      if (slot.state === 'in-transit' && now >= slot.readyAt) return { kind: 'load', target: targetOf(slot) }
    }
    return undefined
  }

  /**
   * Next model to load. An engine is empty after a crash. A model is loaded before it is requested, since entries send
   * no requests to an engine without one. With several models, a requested one goes first, then the first that fits.
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
    // A newer version replaces the older one in its slot after the requests on the older one have ended: until then the
    // engine would refuse new requests.
    if (slot !== undefined) return this._uses.inUse(slotKey(model, adapter), now) ? undefined : { kind: 'load', target: requested }
    if (this._slots.size < this._spec.adapterSlots && this._weightsFit(model)) return { kind: 'load', target: requested }
    const victim = this._victim(now)
    return victim === undefined ? undefined : { kind: 'unload', target: { model: victim.model, adapter: victim.adapter } }
  }

  private _inTransit (): number {
    return [...this._slots.values()].filter(slot => slot.state === 'in-transit' || slot.state === 'unknown').length
  }

  /**
   * Whether the weight store can serve one more load without slowing down those in progress.
   *
   * The store shares its rate between all loads of all engines. Beyond what it can serve, more loads at once bring no
   * adapter sooner and make each of them later.
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
   * A reserved adapter must stay loaded: otherwise the engine would refuse its request, or the request would wait for a
   * load that its entry was notified has ended.
   */
  private _isEvictable (key: string, slot: Slot, now: Ms): boolean {
    return slot.state === 'loaded' && slot.reservedUntil <= now && !this._demand.isPending(key) && !this._uses.inUse(key, now)
  }

  /** The evictable adapter with the fewest recent requests. */
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
   * Records the outcome of an order.
   *
   * @param action - the order
   * @param outcome - the engine's answer; undefined when none came
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
        // Reports lag: one that is asked for at once might not yet include the order that the engine has counted.
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
   * Whether the engine counts an order that it has accepted.
   *
   * A load order that is sent again while the load is in progress is accepted once more, but changes nothing and is not
   * counted by the engine. If it were counted here, the engine would refuse the next order, which would name a higher
   * number, and nothing could be loaded there until the engine has sent a report.
   */
  private _isCounted (action: PlanAction & { readonly kind: 'load' | 'unload' }, outcome: 'accepted' | 'holds'): boolean {
    if (action.kind === 'unload') return true
    const { model, adapter } = action.target
    const isRepeat = adapter !== undefined && this._slots.get(slotKey(model, adapter))?.state === 'in-transit'
    return outcome === 'accepted' && !isRepeat
  }

  /**
   * Handles an order without an answer. The engine may have accepted it, or may carry it out seconds later.
   *
   * The same order, sent again with the same number of counted orders, settles both cases. If the first one was accepted,
   * the engine has counted it and refuses the second. If not, the engine counts the second and refuses the first whenever
   * it arrives. Until then a load counts as occupying its slot, since otherwise the plan could order one load too many.
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
    this._demand.recordLoad(key, now)
    this._turnover.endWait(key, now)
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
      this._turnover.recordFreed(now)
      return
    }
    slot.state = 'unloading'
    this._scheduleReport(now + reportLag)
  }
}
