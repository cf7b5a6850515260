/**
 * Orders one engine, while this entry holds it.
 */
import { type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import { AdapterPlan, type RequestedAdapter, type PlanAction, type Readiness, requestedAdapterKey } from '@hazelford/decisions'
import { compareStartTimes, type EngineControl, type EngineSpec, type LoadTarget, type EngineOrderOutcome } from '@hazelford/ports'
import { EngineAdmission, type EngineLoad } from './engine-admission.js'
import { LivenessProbe } from './liveness-probe.js'
import { RecentLoads, type RecentLoadsUpdate } from './recent-loads.js'

/** Why an adapter can't be had at an engine now. */
export type UnavailableCause =
  /** Every slot is in use: it can be had once requests have ended. */
  | 'every slot is in use'
  /** Its batch is full and others wait before it. */
  | 'every place is in use'
  /** The engine itself gives no answers. */
  | 'the engine does not answer'
  /** It has asked its holder to be left alone for a while. */
  | 'the engine wants rest'
  /** Who was asked does not order this engine, or not any more. */
  | 'not held here'
  | 'its holder does not answer'
  | 'nobody orders this engine'

/** What a holder says to an ask: it can be used, it will be, or it can't be had here now. */
export type LoadRequestOutcome = AskAnswer & { readonly news?: RecentLoadsUpdate }

type AskAnswer =
  /** `atDoor`: Ms of this ask that the prompt waited to be let in, after its adapter was there. */
  | Readiness & { readonly kind: 'ready', readonly load?: EngineLoad, readonly atDoor?: Ms }
  | { readonly kind: 'coming', readonly atDoor?: Ms }
  /** `line`: adapters that wait for a slot there already, or requests that wait for a place. */
  | { readonly kind: 'unavailable', readonly cause: UnavailableCause, readonly line?: number, readonly load?: EngineLoad }

/** What an entry asks of a holder. */
export interface LoadRequest {
  readonly want: RequestedAdapter
  /** 0 is the most urgent. */
  readonly urgency: number
  /** Ms that the request can still wait, beyond this call too. */
  readonly patience: Ms
  /** Ms after which this call wants an answer. */
  readonly answerIn: Ms
  /** The engine has just refused a request for lack of it. */
  readonly missing: boolean
  /** Whether to stand in line when every slot is in use. */
  readonly mayWait: boolean
  /** Whether the same request has asked here before. */
  readonly repeated: boolean
  /** Who asks. */
  readonly entry: string
  /** `model/adapter` of what its open requests use at this engine. */
  readonly uses: readonly string[]
  /** Its open requests there. */
  readonly outstanding: number
  /** The request's prompt, to be let in when the engine can read it; undefined asks for the adapter alone. */
  readonly prompt?: { readonly request: string, readonly tokens: number, readonly dueIn: Ms }
  /** Streams that ended there since its last word, and how many of them paused longer than is on time. */
  readonly streams: number
  readonly paused: number
  /** What it has heard of the engine's loads; see {@link RecentLoads}. */
  readonly heard: number
}

/** Expected wait for a place beyond which another engine is asked first: there the adapter takes as long from the weight store. */
const longestPlaceWait: Ms = 250

/** What a holder needs. */
export interface EngineHolderOptions {
  readonly upstream: string
  readonly node: string
  readonly fence: number
  readonly spec: EngineSpec
  readonly control: EngineControl
  /** Start of the engine, if it says so. */
  readonly startedAt?: number
  readonly clock: Clock
  readonly log: Log
  /** Whether the lease on the engine surely holds. */
  readonly mayOrder: () => boolean
  /** Until when the engine wants nothing from this entry. */
  readonly backoffUntil: () => Ms
  /** Ms that a request stays in its place, as measured; 0 when unknown. */
  readonly serviceTime: () => Ms
  readonly loaded: (took: Ms) => void
}

interface Waiter {
  readonly want: RequestedAdapter
  readonly since: Ms
  readonly resolve: (answer: AskAnswer) => void
  cancel: () => void
}

/** How long a new version may wait for a moment without requests on the old one. */
const prefetchLasts: Ms = 4_000
/** How often a holder that finishes looks whether its last order was answered. */
const finishPoll: Ms = 5
/** Pause before an order is tried again while the lease is in doubt. */
const doubtPause: Ms = 200

const wantsRest: AskAnswer = { kind: 'unavailable', cause: 'the engine wants rest' }

/** Runs an {@link AdapterPlan} against its engine. */
export class EngineHolder {
  /** When it began to hold the engine. */
  readonly heldSince: Ms
  private _plan: AdapterPlan
  private _news = new RecentLoads()
  private _control: EngineControl
  private readonly _liveness: LivenessProbe
  private _startedAt: number | undefined
  private _waiters: Waiter[] = []
  private _admission: EngineAdmission
  private _busy = false
  private _released = false
  private _wake: (() => void) | undefined

  constructor (private readonly _options: EngineHolderOptions) {
    this.heldSince = _options.clock.now()
    this._plan = new AdapterPlan(_options.spec)
    this._admission = this._createAdmission()
    this._control = _options.control
    this._startedAt = _options.startedAt
    this._liveness = new LivenessProbe({ ..._options, mayProbe: () => this._rest <= 0, probe: async () => (await this._control.report()).isOk() })
    this._pump()
  }

  /** Ms for which the engine wants nothing from this entry; 0 or less when it takes orders. */
  private get _rest (): Ms { return this._options.backoffUntil() - this._options.clock.now() }

  get fence (): number { return this._options.fence }
  get slotsUsed (): number { return this._plan.slotsUsed }

  /** Asks for an adapter and waits until it can be used, or for as long as the ask says. */
  async requestLoad (ask: LoadRequest): Promise<LoadRequestOutcome> {
    if (this._released) return { kind: 'unavailable', cause: 'not held here' }
    const answer = await this._answer(ask)
    return { ...answer, news: this._news.since(ask.heard) }
  }

  private async _answer (ask: LoadRequest): Promise<AskAnswer> {
    const { clock } = this._options
    const { want, entry, prompt } = ask
    if (this._liveness.silent) return { kind: 'unavailable', cause: 'the engine does not answer' }
    this._admission.note(entry, ask.outstanding)
    this._admission.recordStreams(ask.streams, ask.paused)
    const startedAt = clock.now()
    const outcome = await this._await(ask)
    if (outcome.kind !== 'ready') return outcome
    const readyAt = clock.now()
    if (prompt === undefined) return { ...outcome, load: this.load }
    if (!ask.mayWait && this._admission.slotWait > longestPlaceWait) return { kind: 'unavailable', cause: 'every place is in use', line: this._admission.queued, load: this.load }
    const left = ask.answerIn - (readyAt - startedAt)
    if (want.adapter !== undefined) this._plan.extendReservation(want.model, want.adapter, readyAt + left)
    if (!await this._admission.admit({ entry, urgency: ask.urgency, ...prompt }, left)) return { kind: 'coming', atDoor: clock.now() - readyAt }
    const now = clock.now()
    if (want.adapter !== undefined) this._plan.addUse(entry, want.model, want.adapter, now)
    return { ...outcome, atDoor: now - readyAt, load: this.load }
  }

  private _createAdmission (): EngineAdmission {
    const { clock, spec, serviceTime: stay } = this._options
    return new EngineAdmission(clock, spec.slots, stay)
  }

  /** What is there now. */
  get load (): EngineLoad { return this._admission.load }

  private _await ({ want, urgency, patience, answerIn, missing, mayWait, repeated, entry, uses, prompt }: LoadRequest): Promise<AskAnswer> {
    const { clock } = this._options
    const now = clock.now()
    this._plan.recordUse(entry, uses, now)
    if (this._rest > 0) return Promise.resolve(this._plan.reserve(want, now) ?? wantsRest)
    const readiness = this._plan.requestAdapter(want, { urgency, until: now + patience, dueAt: now + (prompt?.dueIn ?? Infinity), missing, mayWait, repeated }, now)
    if (readiness.kind === 'ready') return Promise.resolve(readiness)
    if (readiness.kind === 'occupied') return Promise.resolve({ kind: 'unavailable', cause: 'every slot is in use', line: this._plan.waiting })
    return new Promise(resolve => {
      const waiter: Waiter = { want, since: now, resolve, cancel: () => {} }
      waiter.cancel = clock.after(answerIn, () => this._settle(waiter, { kind: 'coming' }))
      this._waiters.push(waiter)
      this._pump()
    })
  }

  /** Takes an entry's word on what it uses, and on its open requests. */
  recordUse (entry: string, uses: readonly string[], outstanding: number | undefined): void {
    this._plan.recordUse(entry, uses, this._options.clock.now())
    if (outstanding !== undefined) this._admission.note(entry, outstanding)
    this._pump()
  }

  /** Loads an adapter that nobody waits for yet, such as a new version of one that is held. */
  prefetch (want: RequestedAdapter): void {
    if (this._released) return
    const now = this._options.clock.now()
    this._plan.requestAdapter(want, { urgency: Number.MAX_SAFE_INTEGER, until: now + prefetchLasts, dueAt: Infinity, missing: false, mayWait: true, repeated: false }, now)
    this._pump()
  }

  /** Versions held of an adapter. */
  holds (model: string, adapter: string): boolean { return this._plan.hasAdapterSlot(model, adapter) }

  /**
   * The engine has started again.
   *
   * Its plan says what the former incarnation held: promised on, requests would be refused for adapters that are not there,
   * and orders based on the former one's count would be refused. What is under way there changes nothing here.
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
    this._news = new RecentLoads()
    this._admission = this._createAdmission()
    for (const waiter of [...this._waiters]) this._settle(waiter, { kind: 'coming' })
    this._pump()
  }

  /** The engine has asked to be left alone: what needs an order there is not waited for. */
  startBackoff (): void {
    for (const waiter of [...this._waiters]) this._settle(waiter, wantsRest)
  }

  /** Orders nothing more. */
  release (): void {
    this._released = true
    this._liveness.stop()
    this._wake?.()
    for (const waiter of [...this._waiters]) this._settle(waiter, { kind: 'unavailable', cause: 'not held here' })
  }

  /** Orders nothing more; resolves once no order is under way. */
  async finish (): Promise<void> {
    this.release()
    while (this._busy) await sleep(this._options.clock, finishPoll)
  }

  private _settle (waiter: Waiter, outcome: AskAnswer): void {
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

  /** Carries out the plan until there is nothing to do before some time. */
  private _pump (): void {
    if (this._busy || this._released) return
    this._wake?.()
    const { clock } = this._options
    const now = clock.now()
    const action = this._plan.nextAction(now)
    this._answerWaiters()
    if (action.kind === 'idle') {
      const until = Math.min(action.until, this._plan.nextLoadDueAt(now) ?? Infinity)
      if (until !== Infinity) this._sleep(until - now)
      return
    }
    if (this._rest > 0) {
      this._sleep(this._rest)
      return
    }
    if (!this._options.mayOrder()) {
      this._sleep(doubtPause)
      return
    }
    this._busy = true
    this._carryOut(action).then(() => {
      this._busy = false
      this._pump()
    }, (error: Error) => {
      this._busy = false
      this._options.log.warn('loads', 'order failed.', { upstream: this._options.upstream, error: error.message })
      this._sleep(doubtPause)
    })
    const ready = this._plan.nextLoadDueAt(now)
    if (ready !== undefined) this._sleep(ready - now)
  }

  private _sleep (delay: Ms): void {
    const cancel = this._options.clock.after(Math.max(1, delay), () => {
      this._wake = undefined
      if (this._busy) this._answerWaiters()
      else this._pump()
    })
    this._wake = () => {
      cancel()
      this._wake = undefined
    }
  }

  private async _carryOut (action: PlanAction & { readonly kind: 'load' | 'unload' | 'report' }): Promise<void> {
    if (action.kind === 'report') await this._report()
    else await this._order(action)
  }

  private async _report (): Promise<void> {
    const { clock, log, upstream } = this._options
    const plan = this._plan
    const askedAt = clock.now()
    const report = await this._control.report()
    if (plan !== this._plan) return
    if (report.isErr()) {
      log.info('loads', 'no report.', { upstream, cause: report.error.message })
      await sleep(clock, doubtPause)
      return
    }
    this._liveness.heard()
    const { orders, models, coming, startedAt } = report.value
    const incarnation = compareStartTimes(startedAt, this._startedAt)
    if (incarnation === 'later') return this.restart(startedAt, this._control)
    if (incarnation === 'earlier') {
      log.info('loads', 'report of an earlier incarnation dropped.', { upstream, startedAt, known: this._startedAt })
      await sleep(clock, doubtPause)
      return
    }
    const held = models.reduce((sum, { adapters }) => sum + adapters.length, 0)
    log.info('loads', 'report taken.', { upstream, orders, counted: this._plan.orders, held, coming: coming.length, took: Math.round(clock.now() - askedAt) })
    plan.applyReport(report.value, askedAt)
  }

  private async _order (action: PlanAction & { readonly kind: 'load' | 'unload' }): Promise<void> {
    const { clock, fence, node } = this._options
    const plan = this._plan
    const control = this._control
    const order = { holder: node, fence, afterOrders: plan.orders }
    const answer = await (action.kind === 'load' ? control.load(action.target, order) : control.unload(action.target, order))
    // The answer belongs to an earlier incarnation of the engine.
    if (plan !== this._plan) return
    if (answer.isOk()) this._liveness.heard()
    const outcome = answer.isOk() ? answer.value : undefined
    plan.recordOrderOutcome(action, outcome, clock.now())
    const { model, adapter, version } = action.target
    if (action.kind === 'load' && outcome === 'holds' && adapter !== undefined) this._news.add({ key: requestedAdapterKey({ model, adapter }), version: version ?? 0 })
    this._note(action.kind, action.target, outcome)
  }

  private _note (kind: 'load' | 'unload', target: LoadTarget, outcome: EngineOrderOutcome | undefined): void {
    const { log, upstream, fence } = this._options
    log.info('loads', `${kind} ${outcome ?? 'unanswered'}.`, { upstream, ...target, fence, afterOrders: this._plan.orders, waiting: this._plan.waiting, slotsUsed: this._plan.slotsUsed })
  }
}
