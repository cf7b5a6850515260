/**
 * Decisions for one upstream: which requests run or wait, and which adapters are loaded or unloaded.
 */
import { type AdapterKey, assertNever, classRank, type FailureCode, type Ms } from '@hazelford/core'
import { DecayedCounter } from './decayed-counter.js'
import type { PlanEffect, PlanLimits, PlanMessage, PlanReport } from './plan-messages.js'
import { type BackoffLimits, fullJitter } from './retry-budget.js'
import { type Slot, SlotTable } from './slot-table.js'
import { MovingAverage } from './moving-average.js'
import { compareAge, compareUrgency, type PlanRequest, WaitQueue } from './wait-queue.js'

const popularityHalfLife: Ms = 60_000
const initialLoadMs: Ms = 500
const initialServiceMs: Ms = 200
const loadBackoff: BackoffLimits = { base: 500, cap: 10_000 }
const minRetryAfter: Ms = 100
/** One start in this many goes to the oldest request, so that no traffic class starves. */
const picksPerOldest = 4

/** Ms that a request of each rank waits for a pinned slot before one is closed for it. */
const closeSlotAfter: readonly Ms[] = [250, 1_000, 3_000]

interface LoadFailures { readonly count: number, readonly retryAt: Ms }

interface Running { readonly request: PlanRequest, readonly since: Ms, readonly slot: Slot | undefined }

/**
 * State and rules of one upstream.
 *
 * It is driven through {@link planUpstream}, or by calls of {@link UpstreamPlan.handle} where a generator is
 * impractical. It does no I/O and reads no clock: messages carry the time.
 */
export class UpstreamPlan {
  private readonly _waiting = new WaitQueue()
  private readonly _running = new Map<string, Running>()
  private readonly _slots = new SlotTable()
  private readonly _popularity = new DecayedCounter(popularityHalfLife)
  private readonly _failures = new Map<AdapterKey, LoadFailures>()
  private readonly _loadMs = new MovingAverage(initialLoadMs)
  private readonly _serviceMs = new MovingAverage(initialServiceMs)
  private _effects: PlanEffect[] = []
  private _leaving = false
  private _permitRequested = false
  private _requestedRank = 0
  private _startCount = 0
  private _hasPermit = false
  private _wakeAt = Infinity

  /**
   * @param _limits - adapter slots, batch slots (`places`) and queue limit
   * @param _random - uniform in [0, 1), for jitter
   */
  constructor (private _limits: PlanLimits, private readonly _random: () => number) {}

  /** Report of the load and the adapter slots, for the heartbeat. */
  report (): PlanReport {
    const open = this._slots.all().filter(slot => !slot.closing)
    return {
      running: this._running.size,
      queued: this._waiting.size,
      places: this._limits.places,
      slots: this._limits.slots,
      adapters: open.flatMap(({ adapter, state, pins }) =>
        state === 'loading' || state === 'loaded' ? [{ adapter, state, pins }] : []),
      loadMs: this._loadMs.measured,
      loadsWaiting: this._adaptersToLoad().length,
      serviceMs: this._serviceMs.measured
    }
  }

  /** Whether no request runs or waits. */
  get idle (): boolean { return this._running.size === 0 && this._waiting.size === 0 }

  /**
   * Handles one message.
   *
   * @param msg - what happened
   * @returns effects to perform, in order
   */
  handle (msg: PlanMessage): readonly PlanEffect[] {
    this._effects = []
    this._apply(msg)
    this._expire(msg.at)
    this._startReady(msg.at)
    this._planLoads(msg.at)
    this._scheduleWake(msg.at)
    return this._effects
  }

  private _apply (msg: PlanMessage): void {
    switch (msg.kind) {
      case 'arrive': return this._arrive(msg.request, msg.at)
      case 'withdraw': return this._withdraw(msg.id)
      case 'finished': return this._finish(msg.id, msg.at, msg.ran)
      case 'not-loaded': return this._notLoaded(msg.id, msg.at)
      case 'permit': return this._takePermit()
      case 'load-ended': return this._loadEnded(msg.adapter, msg.loaded, msg.took, msg.at)
      case 'unload-ended': return this._unloadEnded(msg.adapter, msg.outcome)
      case 'slots-listed': return this._reconcile(msg.loaded, msg.at)
      case 'limits': this._limits = msg.limits; return
      case 'leave': return this._leave()
      case 'return':
        this._leaving = false
        return
      case 'tick': return this._clearWake(msg.at)
      default: return assertNever(msg)
    }
  }

  private _refuse (id: string, code: FailureCode, retryAfter: Ms): void {
    this._waiting.remove(id)
    this._effects.push({ kind: 'refuse', id, code, retryAfter: Math.max(minRetryAfter, Math.round(retryAfter)) })
  }

  private _arrive (request: PlanRequest, now: Ms): void {
    if (this._leaving) return this._refuse(request.id, 'leaving', minRetryAfter)
    if (request.adapter !== undefined) {
      this._popularity.add(request.adapter, now)
      const failed = this._failures.get(request.adapter)
      if (failed !== undefined && failed.retryAt > now) return this._refuse(request.id, 'load-failed', failed.retryAt - now)
    }
    const expected = this._expectedWait(request, now)
    // A request that can't start before its deadline would only take a place in the queue from one that can. Refusing
    // it at once keeps the goodput up under overload.
    if (now + expected > request.deadlineAt) return this._refuse(request.id, 'overloaded', expected)
    this._waiting.add(request)
    if (this._waiting.size > this._limits.queueLimit) this._refuse(this._waiting.last()!.id, 'overloaded', expected)
  }

  /** Expected ms until a request that arrives now would start. */
  private _expectedWait (request: PlanRequest, now: Ms): Ms {
    const ahead = this._waiting.all().filter(other => compareUrgency(other, request) <= 0).length
    const freeBatchSlots = this._limits.places - this._running.size
    const queueWait = ahead < freeBatchSlots ? 0 : (ahead - freeBatchSlots + 1) / this._limits.places * this._serviceMs.value
    const ready = request.adapter === undefined || this._slots.isReady(request.adapter)
    return ready ? queueWait : Math.max(queueWait, this._loadMs.value / 2)
  }

  private _withdraw (id: string): void {
    if (this._waiting.remove(id) !== undefined) {
      this._effects.push({ kind: 'refuse', id, code: 'withdrawn', retryAfter: 0 })
    }
  }

  private _finish (id: string, now: Ms, ran: boolean): void {
    const running = this._running.get(id)
    if (running === undefined) return
    this._running.delete(id)
    if (running.slot !== undefined) this._slots.unpin(running.slot)
    if (ran) this._serviceMs.add(now - running.since)
  }

  /** The engine lacks an adapter that the slot table shows as loaded: the engine was restarted. */
  private _notLoaded (id: string, now: Ms): void {
    const running = this._running.get(id)
    if (running === undefined) return
    this._finish(id, now, false)
    const { request } = running
    const slot = this._slots.get(request.adapter!)
    if (slot !== undefined && slot.state === 'loaded') slot.state = 'unknown'
    this._waiting.add(request)
    this._effects.push({ kind: 'list-slots' })
  }

  private _takePermit (): void {
    this._permitRequested = false
    this._hasPermit = true
  }

  private _loadEnded (adapter: AdapterKey, loaded: boolean, took: Ms, now: Ms): void {
    const slot = this._slots.get(adapter)
    if (!loaded) return this._loadFailed(adapter, now)
    this._loadMs.add(took)
    this._failures.delete(adapter)
    if (slot === undefined) return
    slot.state = 'loaded'
    slot.lastUsed = now
  }

  private _loadFailed (adapter: AdapterKey, now: Ms): void {
    this._slots.drop(adapter)
    const count = (this._failures.get(adapter)?.count ?? 0) + 1
    const wait = minRetryAfter + fullJitter(count, loadBackoff, this._random)
    this._failures.set(adapter, { count, retryAt: now + wait })
    // Waiting requests are refused at once: another sidecar may have the adapter loaded.
    for (const request of this._waiting.of(adapter)) this._refuse(request.id, 'load-failed', wait)
  }

  private _unloadEnded (adapter: AdapterKey, outcome: 'unloaded' | 'unknown'): void {
    const slot = this._slots.get(adapter)
    if (slot === undefined || slot.state !== 'unloading') return
    if (outcome === 'unloaded') return this._slots.drop(adapter)
    // The engine may or may not have unloaded the adapter. Requests sent to it could fail, and counting its slot as
    // free could load more adapters than the engine has slots for; only a list of the loaded adapters settles it.
    slot.state = 'unknown'
    this._effects.push({ kind: 'list-slots' })
  }

  private _reconcile (loaded: readonly AdapterKey[], now: Ms): void {
    const present = new Set(loaded)
    for (const slot of this._slots.all()) {
      if (slot.state === 'loading' || slot.state === 'unloading') continue
      if (!present.has(slot.adapter)) this._slots.drop(slot.adapter)
      else if (slot.state === 'unknown') slot.state = 'loaded'
    }
    for (const adapter of loaded) {
      if (this._slots.get(adapter) !== undefined) continue
      this._slots.startLoad(adapter, now)
      this._slots.get(adapter)!.state = 'loaded'
    }
  }

  private _leave (): void {
    this._leaving = true
    // Waiting requests have not run, so another upstream can take them at once.
    for (const request of this._waiting.all()) this._refuse(request.id, 'leaving', minRetryAfter)
  }

  private _expire (now: Ms): void {
    for (const request of this._waiting.all()) {
      if (request.deadlineAt <= now) this._refuse(request.id, 'queue-deadline', this._serviceMs.value)
    }
  }

  private _startReady (now: Ms): void {
    while (this._running.size < this._limits.places) {
      const isReady = (adapter: AdapterKey | undefined): boolean => adapter === undefined || this._slots.isReady(adapter)
      const order = this._startCount % picksPerOldest === picksPerOldest - 1 ? compareAge : compareUrgency
      const next = this._waiting.first(order, isReady)
      if (next === undefined || this._lingers(next, now)) return
      this._startCount++
      this._waiting.remove(next.id)
      const slot = next.adapter === undefined ? undefined : this._slots.pin(next.adapter, now)
      this._running.set(next.id, { request: next, since: now, slot })
      this._effects.push({ kind: 'start', id: next.id })
    }
  }

  /** Whether a draft waits for other requests to share a batch with: an idle engine would run it alone. */
  private _lingers (request: PlanRequest, now: Ms): boolean {
    if (request.trafficClass !== 'draft' || this._running.size > 0) return false
    if (this._waiting.size >= this._limits.places) return false
    return now < request.arrivedAt + this._limits.draftLinger
  }

  /** The most urgent waiting request of each adapter that is neither loaded nor being loaded. */
  private _adaptersToLoad (): readonly PlanRequest[] {
    return this._waiting.adapters()
      .filter(adapter => this._slots.get(adapter) === undefined)
      .map(adapter => this._mostUrgent(adapter))
  }

  private _mostUrgent (adapter: AdapterKey): PlanRequest {
    return this._waiting.of(adapter).reduce((best, request) => compareUrgency(request, best) < 0 ? request : best)
  }

  private _planLoads (now: Ms): void {
    const wanted = this._adaptersToLoad()
      .filter(request => (this._failures.get(request.adapter!)?.retryAt ?? 0) <= now)
      .sort((a, b) => this._compareLoads(a, b))
    const next = wanted[0]
    if (next === undefined) return this._returnPermit()
    if (!this._makeRoom(next, now)) return
    if (this._hasPermit) {
      this._hasPermit = false
      this._slots.startLoad(next.adapter!, now)
      this._effects.push({ kind: 'load', adapter: next.adapter! })
      return
    }
    // A receipt that arrives while a draft's permit is awaited must not wait with the draft's rank, so the permit is
    // requested again with the receipt's.
    const rank = classRank(next.trafficClass)
    if (this._permitRequested && rank >= this._requestedRank) return
    this._permitRequested = true
    this._requestedRank = rank
    this._effects.push({ kind: 'want-permit', rank })
  }

  /**
   * Order of loads: traffic class, then the number of requests that one load serves, then age. All loads cost the same,
   * so serving the most requests first gives the shortest wait in total.
   */
  private _compareLoads (a: PlanRequest, b: PlanRequest): number {
    return classRank(a.trafficClass) - classRank(b.trafficClass) ||
      this._waiting.of(b.adapter!).length - this._waiting.of(a.adapter!).length ||
      a.arrivedAt - b.arrivedAt
  }

  private _returnPermit (): void {
    if (!this._hasPermit) return
    this._hasPermit = false
    this._effects.push({ kind: 'return-permit' })
  }

  /** Whether an adapter slot is free; if not, starts to free one. */
  private _makeRoom (next: PlanRequest, now: Ms): boolean {
    if (this._slots.size < this._limits.slots) return true
    const isFreeing = this._slots.all().some(slot => slot.state === 'unloading' || slot.state === 'unknown')
    if (isFreeing) return false
    const victim = this._slots.victim(slot => this._retentionValue(slot, now))
    if (victim === undefined || this._isAwaited(victim)) {
      this._closeSlotFor(next, now)
      return false
    }
    victim.state = 'unloading'
    this._effects.push({ kind: 'unload', adapter: victim.adapter })
    return false
  }

  /** Whether requests wait for the adapter and could start: the slot is kept as if it were pinned. */
  private _isAwaited (slot: Slot): boolean {
    return !slot.closing && this._waiting.of(slot.adapter).length > 0
  }

  private _retentionValue (slot: Slot, now: Ms): number {
    if (slot.closing) return -1
    const awaited = this._isAwaited(slot) ? 1e6 : 0
    return awaited + this._popularity.read(slot.adapter, now) + slot.lastUsed / 1e12
  }

  /**
   * Closes the least popular adapter slot when a request has waited long for a free one.
   *
   * Adapters with steady traffic are always pinned. Otherwise a request for another adapter would wait until its
   * deadline while every slot stays in use.
   */
  private _closeSlotFor (next: PlanRequest, now: Ms): void {
    const longestWait = closeSlotAfter[classRank(next.trafficClass)]!
    if (now - next.arrivedAt < longestWait) return
    const open = this._slots.all().filter(slot => slot.state === 'loaded')
    if (open.some(slot => slot.closing)) return
    const least = open.sort((a, b) => this._popularity.read(a.adapter, now) - this._popularity.read(b.adapter, now))[0]
    if (least !== undefined) least.closing = true
  }

  private _clearWake (now: Ms): void {
    if (this._wakeAt <= now) this._wakeAt = Infinity
  }

  /** Requests a wake-up for the next deadline, or the next end of a draft's linger or of a wait for a pinned slot. */
  private _scheduleWake (now: Ms): void {
    let next = Infinity
    for (const request of this._waiting.all()) {
      next = Math.min(next, request.deadlineAt)
      for (const at of [request.arrivedAt + this._limits.draftLinger, request.arrivedAt + closeSlotAfter[classRank(request.trafficClass)]!]) {
        if (at > now) next = Math.min(next, at)
      }
    }
    if (next >= this._wakeAt) return
    this._wakeAt = next
    this._effects.push({ kind: 'wake', after: Math.max(1, next - now) })
  }
}

/**
 * Runs a plan as a generator.
 *
 * @param plan - the state
 * @returns generator that takes a message and yields the effects to perform
 */
export function * planUpstream (plan: UpstreamPlan): Generator<readonly PlanEffect[], void, PlanMessage> {
  let effects: readonly PlanEffect[] = []
  for (;;) effects = plan.handle(yield effects)
}
