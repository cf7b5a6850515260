/**
 * hazelford's own policy in an experiment, with the same `chooseUpstream` and `UpstreamPlan` that
 * the daemons run.
 */
import { chooseUpstream, LoadThrottle, type PlanEffect, type PlanMessage, RetryBudget, UpstreamPlan, UpstreamView } from '@hazelford/decisions'
import type { Arrival } from './deployment.js'
import type { CreatePolicy, PolicyContext } from './policy.js'
import { SimBatch } from './sim-batch.js'
import { addFills } from './simple-policies.js'

const linkMs = 2
const defaultReportMs = 250
const permitMs = 6
const retryShare = 0.1
const maxAttempts = 4
const queueLimit = 256
const minGapMs = 20

/** Simulates the load permits of the weight store, which a record in the key-value service grants. */
class SimPermits {
  private _free: number
  private _waiting: { readonly engine: number, rank: number, readonly onGrant: () => void }[] = []
  private readonly _waitingForShare = new Set<number>()
  private readonly _throttles = new Map<number, LoadThrottle>()

  constructor (private readonly _context: PolicyContext) { this._free = _context.deployment.fullSpeed }

  acquire (engine: number, rank: number, onGrant: () => void): void {
    const { queue, conditions, deployment } = this._context
    if (conditions.kvDown === true) {
      if (this._waitingForShare.has(engine)) return
      this._waitingForShare.add(engine)
      const throttle = this._throttle(engine, 1_000 * deployment.engines / deployment.loadsPerSecond)
      queue.after(throttle.delay(queue.now), () => {
        throttle.recordStart(queue.now)
        this._waitingForShare.delete(engine)
        onGrant()
      })
      return
    }
    const pending = this._waiting.find(other => other.engine === engine)
    if (pending === undefined) this._waiting.push({ engine, rank, onGrant })
    else pending.rank = rank
    this._waiting.sort((a, b) => a.rank - b.rank)
    this._grant()
  }

  returnPermit (engine: number, took?: number, loaded = true): void {
    if (took !== undefined) this._throttles.get(engine)?.recordEnd(took, loaded)
    if (this._context.conditions.kvDown === true) return
    this._free++
    this._grant()
  }

  private _throttle (engine: number, share: number): LoadThrottle {
    const known = this._throttles.get(engine) ?? new LoadThrottle(share)
    this._throttles.set(engine, known)
    return known
  }

  private _grant (): void {
    const next = this._free > 0 ? this._waiting.shift() : undefined
    if (next === undefined) return
    this._free--
    this._context.queue.after(permitMs, next.onGrant)
  }
}

/** Simulates a sidecar and its engine. */
class SidecarEngine {
  readonly batch: SimBatch
  private readonly _plan: UpstreamPlan
  private readonly _arrivals = new Map<string, Arrival>()
  private readonly _loaded = new Set<string>()
  private _epoch = 0
  private _isReportScheduled = false

  constructor (
    private readonly _context: PolicyContext,
    private readonly _index: number,
    private readonly _permits: SimPermits,
    private readonly _refused: (arrival: Arrival, code: string) => void,
    private readonly _lost: (arrival: Arrival) => void,
    private readonly _reportSoon: () => void
  ) {
    const { deployment, queue, events, random } = _context
    this._plan = new UpstreamPlan({ slots: deployment.slots, places: deployment.places, queueLimit, draftLinger: deployment.draftLinger }, () => random.unit())
    this.batch = new SimBatch(queue, deployment.stepMs, deployment.stepMsPerSequence, {
      firstToken: id => events.firstToken(id),
      finished: id => {
        this._arrivals.delete(id)
        events.finished(id)
        this._post({ kind: 'finished', at: queue.now, id, ran: true })
      }
    })
  }

  report (): ReturnType<UpstreamPlan['report']> { return this._plan.report() }

  arrive (arrival: Arrival): void {
    const { queue } = this._context
    this._arrivals.set(arrival.id, arrival)
    const { id, adapter, trafficClass } = arrival
    if (this._loaded.has(adapter)) this._context.events.ready(id)
    this._post({ kind: 'arrive', at: queue.now, request: { id, adapter, trafficClass, arrivedAt: queue.now, deadlineAt: arrival.deadline } })
  }

  restart (): void {
    const { queue } = this._context
    this._epoch++
    this._loaded.clear()
    for (const id of this.batch.clear()) {
      this._post({ kind: 'finished', at: queue.now, id, ran: false })
      this._lost(this._arrivals.get(id)!)
      this._arrivals.delete(id)
    }
    this._post({ kind: 'slots-listed', at: queue.now, loaded: [] })
  }

  private _post (msg: PlanMessage): void {
    for (const effect of this._plan.handle(msg)) this._perform(effect)
  }

  private _perform (effect: PlanEffect): void {
    const { queue } = this._context
    switch (effect.kind) {
      case 'start': {
        const arrival = this._arrivals.get(effect.id)!
        this._context.events.ready(effect.id)
        this.batch.start(effect.id, arrival.tokens)
        return
      }
      case 'refuse': {
        const arrival = this._arrivals.get(effect.id)!
        this._arrivals.delete(effect.id)
        this._refused(arrival, effect.code)
        return
      }
      case 'want-permit':
        this._permits.acquire(this._index, effect.rank, () => this._post({ kind: 'permit', at: queue.now }))
        return
      case 'return-permit': return this._permits.returnPermit(this._index)
      case 'load': return this._load(effect.adapter)
      case 'unload':
        this._loaded.delete(effect.adapter)
        this._context.events.evicted(effect.adapter)
        queue.after(linkMs, () => this._post({ kind: 'unload-ended', at: queue.now, adapter: effect.adapter, outcome: 'unloaded' }))
        return
      case 'list-slots':
        queue.after(linkMs, () => this._post({ kind: 'slots-listed', at: queue.now, loaded: [...this._loaded] }))
        return
      case 'wake':
        queue.after(effect.after, () => this._post({ kind: 'tick', at: queue.now }))
    }
  }

  private _load (adapter: string): void {
    const { queue, store, random, conditions, events } = this._context
    const from = queue.now
    const epoch = this._epoch
    store.load(() => {
      const loaded = epoch === this._epoch && random.unit() >= (conditions.failShare ?? 0)
      this._permits.returnPermit(this._index, queue.now - from, loaded)
      if (loaded) {
        this._loaded.add(adapter)
        events.loaded(adapter)
        for (const arrival of this._arrivals.values()) if (arrival.adapter === adapter) events.ready(arrival.id)
      }
      this._post({ kind: 'load-ended', at: queue.now, adapter, loaded, took: queue.now - from })
      if (this._isReportScheduled) return
      this._isReportScheduled = true
      queue.after(minGapMs, () => {
        this._isReportScheduled = false
        this._reportSoon()
      })
    })
  }
}

/** Creates hazelford's policy. */
export const createHazelfordPolicy: CreatePolicy = context => {
  const { deployment, conditions, queue, random, events } = context
  const permits = new SimPermits(context)
  const budget = new RetryBudget(retryShare)
  const tried = new Map<string, Set<string>>()
  const names = Array.from({ length: deployment.engines }, (_, i) => `e${i}`)
  const views = Array.from({ length: deployment.entries }, (_, entry) =>
    names.map((name, i) => new UpstreamView(name, 'chat', `z${i % deployment.entries === entry ? entry : 'x'}`)))

  const reportTo = (i: number): void => {
    const sidecarReport = engines[i]!.report()
    queue.after(linkMs, () => {
      for (const entry of views) entry[i]!.update('serving', sidecarReport, queue.now)
    })
  }
  const retry = (arrival: Arrival, code: string): void => {
    const attempts = tried.get(arrival.id)?.size ?? 0
    if (attempts >= maxAttempts || arrival.deadline <= queue.now || code === 'queue-deadline' || !budget.takeRetry()) return events.refused(arrival.id)
    events.retried()
    queue.after(linkMs, () => send(arrival))
  }
  const engines = names.map((_, i) => new SidecarEngine(context, i, permits, retry, arrival => retry(arrival, 'upstream-lost'), () => reportTo(i)))
  const send = (arrival: Arrival): void => {
    const entry = Number(arrival.id.slice(1)) % deployment.entries
    const triedNames = tried.get(arrival.id) ?? new Set<string>()
    tried.set(arrival.id, triedNames)
    const view = chooseUpstream({ adapter: arrival.adapter, zone: `z${entry}`, tried: triedNames }, views[entry]!, deployment.weights, queue.now, () => random.unit())
    if (view === undefined) return events.refused(arrival.id)
    triedNames.add(view.name)
    view.recordSent(arrival.adapter)
    queue.after(linkMs, () => engines[names.indexOf(view.name)]!.arrive(arrival))
  }
  const reportPeriodically = (): void => {
    engines.forEach((_, i) => reportTo(i))
    queue.after(conditions.reportMs ?? defaultReportMs, reportPeriodically)
  }
  for (const entry of views) for (const view of entry) view.update('serving', engines[0]!.report(), -60_000)
  reportPeriodically()
  return {
    arrive: arrival => {
      budget.firstAttempt()
      send(arrival)
    },
    restartEngine: () => engines[0]!.restart(),
    fill: () => addFills(engines.map(engine => engine.batch.fill))
  }
}
