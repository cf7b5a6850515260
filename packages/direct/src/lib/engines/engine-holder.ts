/**
 * Sends load and unload orders to one engine while this entry holds it.
 */
import { type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import { AdapterPlan, EngineSpeed, type RequestedAdapter, type PlanAction, type Readiness, requestedAdapterKey } from '@hazelford/decisions'
import { compareStartTimes, type EngineControl, type EngineSpec, type LoadTarget, type EngineOrderOutcome } from '@hazelford/ports'
import { type Deferral, EngineAdmission, type EngineLoad } from './engine-admission.js'
import { LivenessProbe } from './liveness-probe.js'
import { RecentLoads, type RecentLoadsUpdate } from './recent-loads.js'
import type { StreamReport } from './stream-report.js'

/** Why an adapter is not available at an engine now. */
export type UnavailableCause =
  /** Every adapter slot is in use; one becomes free once requests have ended. */
  | 'every slot is in use'
  /** The engine's batch is full and other requests wait for a batch slot. */
  | 'every place is in use'
  /** The engine does not answer its holder. */
  | 'the engine does not answer'
  /** The engine has asked its holder to back off. */
  | 'the engine wants rest'
  /** The entry that received the request does not hold this engine, or no longer does. */
  | 'not held here'
  | 'its holder does not answer'
  | 'nobody orders this engine'

/**
 * A holder's answer to a load request: the adapter is usable, is being loaded, or is not available at this engine now.
 */
export type LoadRequestOutcome = LoadRequestAnswer & { readonly news?: RecentLoadsUpdate }

type LoadRequestAnswer =
  /** `atDoor`: ms of this call that the prompt waited for admission after its adapter was loaded. */
  | Readiness & { readonly kind: 'ready', readonly load?: EngineLoad, readonly atDoor?: Ms }
  | { readonly kind: 'coming', readonly atDoor?: Ms }
  /**
   * `line`: number of adapters that already wait for an adapter slot there, or of requests that wait for a batch slot.
   * `wait`: ms until the adapter is expected to be loaded there; undefined when that can't be predicted, and from a holder of
   * a version that does not predict it.
   */
  | { readonly kind: 'unavailable', readonly cause: UnavailableCause, readonly line?: number, readonly wait?: Ms, readonly load?: EngineLoad }

/** A request's prompt that waits for admission to an engine. */
export interface PromptRequest {
  readonly request: string
  readonly tokens: number
  readonly dueIn: Ms
  /** Organisation that sends the request; undefined without one, and from an entry of a version that does not send it. */
  readonly organisation?: string
}

/** What an entry requests of a holder. */
export interface LoadRequest extends StreamReport {
  readonly want: RequestedAdapter
  /** Priority; 0 is the most urgent. */
  readonly urgency: number
  /** Longest time in ms that the request may still wait, in this call and in later ones. */
  readonly patience: Ms
  /** Ms after which this call must be answered. */
  readonly answerIn: Ms
  /** Whether the engine has just refused a request because the adapter was not loaded. */
  readonly missing: boolean
  /** Whether to queue for an adapter slot when every one is in use. */
  readonly mayWait: boolean
  /** Whether the same request was sent to this holder before. */
  readonly repeated: boolean
  /** Name of the entry that sends the load request. */
  readonly entry: string
  /** `model/adapter` of each adapter that the entry's open requests use at this engine. */
  readonly uses: readonly string[]
  /** Number of the entry's open requests at this engine. */
  readonly outstanding: number
  /** The request's prompt, to be admitted when the engine can read it; undefined requests the adapter alone. */
  readonly prompt?: PromptRequest
  /** Number of recent loads of the engine that the entry has received; see {@link RecentLoads}. */
  readonly heard: number
}

/**
 * Expected wait for a batch slot beyond which another engine is tried first: loading the adapter there from the weight
 * store takes about as long.
 */
const longestSlotWait: Ms = 250

/** What a holder needs. */
export interface EngineHolderOptions {
  readonly upstream: string
  readonly node: string
  readonly fence: number
  readonly spec: EngineSpec
  readonly control: EngineControl
  /** Start time of the engine, if its record has one. */
  readonly startedAt?: number
  readonly clock: Clock
  readonly log: Log
  /** Whether the lease on the engine is certain to be valid. */
  readonly mayOrder: () => boolean
  /** Until when the engine has asked this entry to back off. */
  readonly backoffUntil: () => Ms
  /** Mean service time of a request in ms, 0 when unknown. */
  readonly serviceTime: () => Ms
  /** Records how many ms a load request waited until its adapter was usable. */
  readonly loaded: (took: Ms) => void
  /** Last known speed of the engine; undefined when none is known. */
  readonly speed?: number
}

interface Waiter {
  readonly want: RequestedAdapter
  readonly since: Ms
  readonly resolve: (answer: LoadRequestAnswer) => void
  cancel: () => void
}

/** How long the prefetch of a new version may wait for a moment without requests on the old one. */
const prefetchWait: Ms = 4_000
/** How often {@link EngineHolder.finish} checks whether the last order was answered. */
const finishPoll: Ms = 5
/** Time after which an order without an answer is not on its way to its engine any more. */
export const orderTransit: Ms = 300
/** Pause before an order or a report is retried, also while the lease may have ended. */
const retryPause: Ms = 200

/** Least time between two log lines of one engine on requests that waited because of shares. */
const deferralLogInterval: Ms = 1_000

const backoffAnswer: LoadRequestAnswer = { kind: 'unavailable', cause: 'the engine wants rest' }

/** Runs an {@link AdapterPlan} against its engine. */
export class EngineHolder {
  /** When this entry became the holder. */
  readonly heldSince: Ms
  private _plan: AdapterPlan
  private _recentLoads = new RecentLoads()
  private _control: EngineControl
  private readonly _liveness: LivenessProbe
  private _startedAt: number | undefined
  private _waiters: Waiter[] = []
  private _admission: EngineAdmission
  private _speed: EngineSpeed
  /** Whether an action of the plan is in progress. */
  private _busy = false
  /** Whether the action in progress is an order. */
  private _ordering = false
  /** Until when the last order without an answer may still arrive at the engine. */
  private _ordersArriveUntil: Ms = -Infinity
  private _released = false
  private _deferralLoggedAt: Ms = -Infinity
  /** Cancels the timer after which the plan runs again. */
  private _cancelSleep: (() => void) | undefined

  constructor (private readonly _options: EngineHolderOptions) {
    this.heldSince = _options.clock.now()
    this._plan = new AdapterPlan(_options.spec)
    this._speed = new EngineSpeed(_options.speed)
    this._admission = this._createAdmission()
    this._control = _options.control
    this._startedAt = _options.startedAt
    this._liveness = new LivenessProbe({ ..._options, mayProbe: () => this._backoff <= 0, probe: async () => (await this._control.report()).isOk() })
    this._runPlan()
  }

  /** Remaining backoff of the engine in ms; 0 or less when it accepts orders. */
  private get _backoff (): Ms { return this._options.backoffUntil() - this._options.clock.now() }

  get fence (): number { return this._options.fence }
  get slotsUsed (): number { return this._plan.slotsUsed }

  /** Requests an adapter and waits until it is usable, or for as long as the request allows. */
  async requestLoad (request: LoadRequest): Promise<LoadRequestOutcome> {
    if (this._released) return { kind: 'unavailable', cause: 'not held here' }
    const answer = await this._answer(request)
    return { ...answer, news: this._recentLoads.since(request.heard) }
  }

  private async _answer (request: LoadRequest): Promise<LoadRequestAnswer> {
    const { clock } = this._options
    const { want, entry, prompt } = request
    if (this._liveness.silent) return { kind: 'unavailable', cause: 'the engine does not answer' }
    this._admission.recordOpenRequests(entry, request.outstanding)
    this._recordStreams(request)
    const startedAt = clock.now()
    const outcome = await this._awaitAdapter(request)
    if (outcome.kind !== 'ready') return outcome
    const readyAt = clock.now()
    if (prompt === undefined) return { ...outcome, load: this.load }
    if (!request.mayWait && this._admission.slotWait > longestSlotWait) return { kind: 'unavailable', cause: 'every place is in use', line: this._admission.queued, load: this.load }
    const left = request.answerIn - (readyAt - startedAt)
    if (want.adapter !== undefined) this._plan.extendReservation(want.model, want.adapter, readyAt + left)
    if (!await this._admission.admit({ entry, urgency: request.urgency, ...prompt }, left)) return { kind: 'coming', atDoor: clock.now() - readyAt }
    const now = clock.now()
    if (want.adapter !== undefined) this._plan.addUse(entry, want.model, want.adapter, now)
    return { ...outcome, atDoor: now - readyAt, load: this.load }
  }

  private _createAdmission (): EngineAdmission {
    const { clock, spec, serviceTime } = this._options
    const admission = new EngineAdmission(clock, spec.slots, () => serviceTime() / this._speed.speed, deferral => this._logDeferral(deferral))
    admission.setSpeed(this._speed.speed)
    return admission
  }

  private _logDeferral ({ id, organisation, waited, overtakenBy, share, queued }: Deferral): void {
    const { clock, log, upstream } = this._options
    if (clock.now() - this._deferralLoggedAt < deferralLogInterval) return
    this._deferralLoggedAt = clock.now()
    log.info('request', 'waited for its organisation\'s turn.', { upstream, request: id, organisation, waited: Math.round(waited), overtakenBy, share: Number(share.toFixed(2)), queued })
  }

  /** The engine's load now. */
  get load (): EngineLoad {
    const { known } = this._speed
    return { ...this._admission.load, ...(known === undefined ? {} : { speed: known }) }
  }

  /** The engine's speed relative to the others of its service. */
  get speed (): EngineSpeed { return this._speed }

  private _recordStreams ({ streams, paused, paces = [] }: StreamReport): void {
    const { clock, log, upstream } = this._options
    this._admission.recordStreams(streams, paused)
    const change = this._speed.record(paces, clock.now())
    if (change === undefined) return
    this._admission.setSpeed(change.speed)
    log.info('loads', 'engine speed changed.', { upstream, fence: this.fence, ...change })
  }

  private _awaitAdapter ({ want, urgency, patience, answerIn, missing, mayWait, repeated, entry, uses, prompt }: LoadRequest): Promise<LoadRequestAnswer> {
    const { clock } = this._options
    const now = clock.now()
    this._plan.recordUse(entry, uses, now)
    if (this._backoff > 0) return Promise.resolve(this._plan.reserve(want, now) ?? backoffAnswer)
    const { organisation } = prompt ?? {}
    const terms = { urgency, until: now + patience, dueAt: now + (prompt?.dueIn ?? Infinity), missing, mayWait, repeated, ...(organisation === undefined ? {} : { organisation }) }
    const readiness = this._plan.requestAdapter(want, terms, now)
    if (readiness.kind === 'ready') return Promise.resolve(readiness)
    if (readiness.kind === 'occupied') return Promise.resolve({ kind: 'unavailable', cause: 'every slot is in use', line: this._plan.waiting, ...(readiness.wait === undefined ? {} : { wait: Math.round(readiness.wait) }) })
    return new Promise(resolve => {
      const waiter: Waiter = { want, since: now, resolve, cancel: () => {} }
      waiter.cancel = clock.after(answerIn, () => this._settle(waiter, { kind: 'coming' }))
      this._waiters.push(waiter)
      this._runPlan()
    })
  }

  /** Applies an entry's report on the adapters that it uses, on its open requests and on streams that ended. */
  recordUse (entry: string, uses: readonly string[], outstanding: number | undefined, ended: StreamReport): void {
    this._recordStreams(ended)
    this._plan.recordUse(entry, uses, this._options.clock.now())
    if (outstanding !== undefined) this._admission.recordOpenRequests(entry, outstanding)
    this._runPlan()
  }

  /** Loads an adapter that no request waits for yet, such as a new version of one that is loaded. */
  prefetch (want: RequestedAdapter): void {
    if (this._released) return
    const now = this._options.clock.now()
    this._plan.requestAdapter(want, { urgency: Number.MAX_SAFE_INTEGER, until: now + prefetchWait, dueAt: Infinity, missing: false, mayWait: true, repeated: false }, now)
    this._runPlan()
  }

  /** Whether any version of an adapter occupies an adapter slot. */
  holds (model: string, adapter: string): boolean { return this._plan.hasAdapterSlot(model, adapter) }

  /**
   * Resets the plan after the engine has restarted.
   *
   * The plan describes the former incarnation. If it were kept, requests would be sent for adapters that are no longer
   * loaded, and the engine would refuse orders numbered by the former incarnation's count. Orders in progress at the
   * former incarnation do not affect the new plan.
   *
   * @param startedAt - of the new incarnation
   * @param control - of the new incarnation
   */
  restart (startedAt: number | undefined, control: EngineControl): void {
    if (this._released) return
    this._control = control
    if (compareStartTimes(startedAt, this._startedAt) !== 'later') return
    this._options.log.info('loads', 'engine started again.', { upstream: this._options.upstream, fence: this.fence, startedAt, before: this._startedAt })
    this._startedAt = startedAt
    this._plan = new AdapterPlan(this._options.spec)
    this._recentLoads = new RecentLoads()
    this._speed = new EngineSpeed(1)
    this._admission = this._createAdmission()
    for (const waiter of [...this._waiters]) this._settle(waiter, { kind: 'coming' })
    this._runPlan()
  }

  /**
   * Answers all waiting load requests with the engine's backoff, since no order may be sent to the engine until the
   * backoff ends.
   */
  startBackoff (): void {
    for (const waiter of [...this._waiters]) this._settle(waiter, backoffAnswer)
  }

  /** Stops sending orders, and answers all waiting load requests that this entry does not hold the engine. */
  release (): void {
    this._released = true
    this._liveness.stop()
    this._cancelSleep?.()
    for (const waiter of [...this._waiters]) this._settle(waiter, { kind: 'unavailable', cause: 'not held here' })
  }

  /** Stops sending orders; resolves once no order can arrive at the engine any more. */
  async finish (): Promise<void> {
    const { clock } = this._options
    this.release()
    while (this._ordering) await sleep(clock, finishPoll)
    const left = this._ordersArriveUntil - clock.now()
    if (left > 0) await sleep(clock, left)
  }

  private _settle (waiter: Waiter, outcome: LoadRequestAnswer): void {
    if (!this._waiters.includes(waiter)) return
    this._waiters = this._waiters.filter(other => other !== waiter)
    waiter.cancel()
    if (outcome.kind === 'ready') this._options.loaded(this._options.clock.now() - waiter.since)
    waiter.resolve(outcome)
  }

  private _answerWaiters (): void {
    const now = this._options.clock.now()
    for (const waiter of [...this._waiters]) {
      const readiness = this._plan.reserve(waiter.want, now)
      if (readiness !== undefined) this._settle(waiter, readiness)
    }
  }

  /** Carries out the plan until its next action is due later. */
  private _runPlan (): void {
    if (this._busy || this._released) return
    this._cancelSleep?.()
    const { clock } = this._options
    const now = clock.now()
    const action = this._plan.nextAction(now)
    this._answerWaiters()
    if (action.kind === 'idle') {
      const until = Math.min(action.until, this._plan.nextLoadDueAt(now) ?? Infinity)
      if (until !== Infinity) this._sleep(until - now)
      return
    }
    if (this._backoff > 0) {
      this._sleep(this._backoff)
      return
    }
    if (!this._options.mayOrder()) {
      this._sleep(retryPause)
      return
    }
    this._busy = true
    this._execute(action).then(() => {
      this._busy = false
      this._runPlan()
    }, (error: Error) => {
      this._busy = false
      this._options.log.warn('loads', 'order failed.', { upstream: this._options.upstream, error: error.message })
      this._sleep(retryPause)
    })
    const ready = this._plan.nextLoadDueAt(now)
    if (ready !== undefined) this._sleep(ready - now)
  }

  private _sleep (delay: Ms): void {
    const cancel = this._options.clock.after(Math.max(1, delay), () => {
      this._cancelSleep = undefined
      if (this._busy) this._answerWaiters()
      else this._runPlan()
    })
    this._cancelSleep = () => {
      cancel()
      this._cancelSleep = undefined
    }
  }

  private async _execute (action: PlanAction & { readonly kind: 'load' | 'unload' | 'report' }): Promise<void> {
    if (action.kind === 'report') await this._fetchReport()
    else await this._sendOrder(action)
  }

  private async _fetchReport (): Promise<void> {
    const { clock, log, upstream } = this._options
    const plan = this._plan
    const requestedAt = clock.now()
    const report = await this._control.report()
    if (plan !== this._plan) return
    if (report.isErr()) {
      log.info('loads', 'no report.', { upstream, cause: report.error.message })
      await sleep(clock, retryPause)
      return
    }
    this._liveness.recordAnswer()
    const { orders, models, coming, startedAt } = report.value
    const incarnation = compareStartTimes(startedAt, this._startedAt)
    if (incarnation === 'later') return this.restart(startedAt, this._control)
    if (incarnation === 'earlier') {
      log.info('loads', 'report of an earlier incarnation dropped.', { upstream, startedAt, known: this._startedAt })
      await sleep(clock, retryPause)
      return
    }
    const held = models.reduce((sum, { adapters }) => sum + adapters.length, 0)
    log.info('loads', 'report applied.', { upstream, orders, counted: this._plan.orders, held, coming: coming.length, took: Math.round(clock.now() - requestedAt) })
    plan.applyReport(report.value, requestedAt)
  }

  private async _sendOrder (action: PlanAction & { readonly kind: 'load' | 'unload' }): Promise<void> {
    const { clock, fence, node } = this._options
    const plan = this._plan
    const control = this._control
    const order = { holder: node, fence, afterOrders: plan.orders }
    this._ordering = true
    const answer = await (action.kind === 'load' ? control.load(action.target, order) : control.unload(action.target, order))
    this._ordering = false
    if (answer.isErr()) this._ordersArriveUntil = clock.now() + orderTransit
    // The answer belongs to an earlier incarnation of the engine.
    if (plan !== this._plan) return
    if (answer.isOk()) this._liveness.recordAnswer()
    const outcome = answer.isOk() ? answer.value : undefined
    plan.recordOrderOutcome(action, outcome, clock.now())
    const { model, adapter, version } = action.target
    if (action.kind === 'load' && outcome === 'holds' && adapter !== undefined) this._recentLoads.add({ key: requestedAdapterKey({ model, adapter }), version: version ?? 0 })
    this._logOrder(action.kind, action.target, outcome)
  }

  private _logOrder (kind: 'load' | 'unload', target: LoadTarget, outcome: EngineOrderOutcome | undefined): void {
    const { log, upstream, fence } = this._options
    log.info('loads', `${kind} ${outcome ?? 'unanswered'}.`, { upstream, ...target, fence, afterOrders: this._plan.orders, waiting: this._plan.waiting, slotsUsed: this._plan.slotsUsed })
  }
}
