/**
 * Runs load requests against the plan of one engine, with a simulated engine that loses and delays orders.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { EngineReport, EngineSpec, EngineOrderOutcome } from '@hazelford/ports'
import { AdapterPlan, type PlanAction, type Readiness } from '../lib/adapter-plan.js'
import { propertyOptions } from './support/property-options.js'

type Order = PlanAction & { readonly kind: 'load' | 'unload' }

const model = 'm'

function specOf (adapterSlots: number): EngineSpec {
  return { slots: 32, weightsMb: 10_000, adapterSlots, loadsPerSecond: 4, models: [{ name: model, weightsMb: 1_000, adapterMb: 10, adapters: 100 }] }
}

/** A simulated engine that counts orders, and refuses an order that names another count. */
class SimulatedEngine {
  /** @param loadTime - ms */
  constructor (readonly loadTime = 250) {}

  /** Loaded adapters. */
  readonly held = new Map<string, number>()
  /** Time at which the load of each adapter in transit ends. */
  readonly coming = new Map<string, number>()
  orders = 0
  conflicts = 0
  maxOccupied = 0
  maxInTransit = 0

  handleOrder ({ kind, target }: Order, after: number, now: number): EngineOrderOutcome {
    this._completeLoads(now)
    const adapter = target.adapter!
    // The order of a load in progress, sent again, is accepted on whatever count it is based, and is not counted.
    if (kind === 'load' && this.coming.has(adapter)) return 'accepted'
    if (after !== this.orders) {
      this.conflicts++
      return 'conflict'
    }
    if (kind === 'load' && this.held.has(adapter)) return 'holds'
    this.orders++
    if (kind === 'unload') {
      this.held.delete(adapter)
      return 'holds'
    }
    this.coming.set(adapter, now + this.loadTime)
    this.maxOccupied = Math.max(this.maxOccupied, this.held.size + this.coming.size)
    this.maxInTransit = Math.max(this.maxInTransit, this.coming.size)
    return 'accepted'
  }

  report (now: number): EngineReport {
    this._completeLoads(now)
    return {
      models: [{ model, version: 1, adapters: [...this.held.keys()].map(adapter => ({ adapter, version: 1 })) }],
      coming: [...this.coming.keys()].map(adapter => ({ model, adapter, version: 1 })),
      busy: false,
      orders: this.orders,
      running: 0,
      waiting: 0
    }
  }

  private _completeLoads (now: number): void {
    for (const [adapter, at] of this.coming) {
      if (at > now) continue
      this.coming.delete(adapter)
      this.held.set(adapter, 1)
    }
  }
}

type OrderFate = 'answered' | 'lost-before' | 'lost-after' | 'late'

interface Simulation { readonly requests: readonly { readonly adapter: number, readonly gap: number }[], readonly fates: readonly OrderFate[] }

const simulations: fc.Arbitrary<Simulation> = fc.record({
  requests: fc.array(fc.record({ adapter: fc.integer({ min: 1, max: 12 }), gap: fc.integer({ min: 0, max: 120 }) }), { minLength: 20, maxLength: 80 }),
  fates: fc.array(fc.constantFrom<OrderFate>('answered', 'answered', 'answered', 'lost-before', 'lost-after', 'late'), { minLength: 5, maxLength: 40 })
})

/** Simulates all load requests. An order's fate decides whether the order arrives, and whether its answer does. */
function simulate ({ requests, fates }: Simulation, loadTime?: number): SimulatedEngine {
  const engine = new SimulatedEngine(loadTime)
  const plan = new AdapterPlan(specOf(4))
  const late: { at: number, order: Order, after: number }[] = []
  let [now, sent] = [0, 0]
  const step = (): void => {
    for (const { order, after } of late.filter(({ at }) => at <= now)) engine.handleOrder(order, after, now)
    late.splice(0, late.length, ...late.filter(({ at }) => at > now))
    const action = plan.nextAction(now)
    if (action.kind === 'idle') return
    if (action.kind === 'report') {
      plan.applyReport(engine.report(now), now)
      return
    }
    const fate = fates[sent++ % fates.length]!
    if (fate === 'late') late.push({ at: now + 3_000, order: action, after: plan.orders })
    const outcome = fate === 'answered' || fate === 'lost-after' ? engine.handleOrder(action, plan.orders, now) : undefined
    const received = fate === 'answered' ? outcome : undefined
    plan.recordOrderOutcome(action, received, now)
  }
  for (const { adapter, gap } of requests) {
    for (const end = now + gap; now < end; now += 10) step()
    plan.requestAdapter({ model, adapter: `a${adapter}` }, { urgency: 1, until: now + 2_000, dueAt: now + 1_000, missing: false, repeated: false, mayWait: true }, now)
  }
  for (const end = now + 6_000; now < end; now += 10) step()
  return engine
}

Then('for any load requests and any lost or late orders the engine never loads more adapters than it has slots', () => {
  fc.assert(fc.property(simulations, input => assert.ok(simulate(input).maxOccupied <= 4)), propertyOptions)
})

Then('for any load requests and any lost or late orders at most four adapters are in transit', () => {
  fc.assert(fc.property(simulations, input => assert.ok(simulate(input).maxInTransit <= 4)), propertyOptions)
})

interface PlanWorld { plan: AdapterPlan, now: number, readiness: Readiness }

function report (adapters: readonly string[]): EngineReport {
  return { models: [{ model, version: 1, adapters: adapters.map(adapter => ({ adapter, version: 1 })) }], coming: [], busy: false, orders: 0, running: 0, waiting: 0 }
}

function requestAdapter (world: PlanWorld, adapter: string, mayWait = true, version?: number): void {
  const want = { model, adapter, ...(version === undefined ? {} : { version }) }
  world.readiness = world.plan.requestAdapter(want, { urgency: 1, until: world.now + 2_000, dueAt: world.now + 1_000, missing: false, repeated: false, mayWait }, world.now)
}

function prepare (world: PlanWorld, slots: number, adapters: readonly string[]): void {
  world.now = 0
  world.plan = new AdapterPlan(specOf(slots))
  world.plan.applyReport(report(adapters), 0)
}

Given('an engine with 2 adapter slots, both reserved', function (this: PlanWorld) {
  prepare(this, 2, ['a1', 'a2'])
  requestAdapter(this, 'a1')
  requestAdapter(this, 'a2')
  assert.equal(this.readiness.kind, 'ready')
})

When('a third adapter is requested', function (this: PlanWorld) { requestAdapter(this, 'a3') })

Then('nothing is unloaded before the reservations end', function (this: PlanWorld) {
  assert.equal(this.plan.nextAction(200).kind, 'idle')
  assert.equal(this.plan.nextAction(400).kind, 'unload')
})

Given('an engine with 2 adapter slots, both in use', function (this: PlanWorld) {
  prepare(this, 2, ['a1', 'a2'])
  this.plan.recordUse('entry-1', [`${model}/a1`, `${model}/a2`], 0)
})

Then('a third adapter is answered with "occupied" when its request may not wait', function (this: PlanWorld) {
  requestAdapter(this, 'a3', false)
  assert.equal(this.readiness.kind, 'occupied')
  requestAdapter(this, 'a3', true)
  assert.equal(this.readiness.kind, 'coming')
})

Given('20 adapters whose callers have left', function (this: PlanWorld) {
  prepare(this, 4, [])
  for (let n = 0; n < 20; n++) requestAdapter(this, `old${n}`)
  this.now = 5_000
})

When('another adapter is requested', function (this: PlanWorld) { requestAdapter(this, 'new') })

Then('it is the next one loaded', function (this: PlanWorld) {
  const action = this.plan.nextAction(this.now)
  assert.ok(action.kind === 'load' && action.target.adapter === 'new')
})

Then('the adapter that most requests wait for is loaded among the first four', function (this: PlanWorld) {
  prepare(this, 36, [])
  for (let n = 0; n < 60; n++) {
    this.now = n * 1_000 / 60
    requestAdapter(this, n % 5 === 4 ? 'hot' : `rare${n}`)
  }
  const first: (string | undefined)[] = []
  for (let n = 0; n < 4; n++) {
    const action = this.plan.nextAction(this.now)
    if (action.kind !== 'load') break
    first.push(action.target.adapter)
    this.plan.recordOrderOutcome(action, 'accepted', this.now)
  }
  assert.ok(first.includes('hot'), first.join())
})

Given('an engine whose adapter is in use in version 1', function (this: PlanWorld) {
  prepare(this, 2, ['a1'])
  this.plan.recordUse('entry-1', [`${model}/a1`], 0)
})

When('version 2 of it is requested', function (this: PlanWorld) { requestAdapter(this, 'a1', true, 2) })

Then('no load is ordered before its requests have ended', function (this: PlanWorld) {
  assert.equal(this.plan.nextAction(100).kind, 'idle')
  this.plan.recordUse('entry-1', [], 200)
  const action = this.plan.nextAction(300)
  assert.ok(action.kind === 'load' && action.target.version === 2)
})

Then('of the orders of 60 load requests for adapters whose loads take {int} ms none is refused', (loadTime: number) => {
  const requests = Array.from({ length: 60 }, (_, n) => ({ adapter: 1 + n * 5 % 12, gap: 90 }))
  const engine = simulate({ requests, fates: ['answered'] }, loadTime)
  assert.ok(engine.orders > 20, `only ${engine.orders} orders`)
  assert.equal(engine.conflicts, 0)
})

interface LostAnswersWorld { plan: AdapterPlan, engine: SimulatedEngine, now: number }

const lostLoadMs = 1_500
const stepMs = 10
/** Time of the first order; the clocks of long-running processes are far from 0. */
const startedMs = 1_000_000

Given('an engine that accepts the load order for an adapter, with all its answers lost', function (this: LostAnswersWorld) {
  this.engine = new SimulatedEngine(lostLoadMs)
  this.plan = new AdapterPlan(specOf(4))
  this.now = startedMs
  assert.equal(this.plan.nextAction(this.now).kind, 'report')
  this.plan.applyReport(this.engine.report(this.now), this.now)
  this.plan.requestAdapter({ model, adapter: 'a1' }, { urgency: 1, until: this.now + 10_000, dueAt: this.now + 10_000, missing: false, repeated: false, mayWait: true }, this.now)
  for (let action = this.plan.nextAction(this.now); action.kind === 'load' || action.kind === 'unload'; action = this.plan.nextAction(this.now)) {
    this.engine.handleOrder(action, 0, this.now)
    this.now += stepMs
    this.plan.recordOrderOutcome(action, undefined, this.now)
  }
})

When('a report shows the adapter as loading', function (this: LostAnswersWorld) {
  while (this.plan.nextAction(this.now).kind === 'idle') this.now += stepMs
  assert.equal(this.plan.nextAction(this.now).kind, 'report')
  const report = this.engine.report(this.now)
  assert.equal(report.coming.length, 1)
  this.plan.applyReport(report, this.now)
})

Then('the adapter is reserved within {int} ms of being loaded', function (this: LostAnswersWorld, ms: number) {
  const latest = startedMs + lostLoadMs + ms
  while (this.plan.reserve({ model, adapter: 'a1' }, this.now)?.kind !== 'ready') {
    assert.ok(this.now <= latest, 'the adapter is not reserved')
    const ready = this.plan.nextLoadDueAt(this.now)
    assert.ok(ready === undefined || Number.isFinite(ready), `the next load is due at ${ready}`)
    const action = this.plan.nextAction(this.now)
    if (action.kind === 'load') this.plan.recordOrderOutcome(action, this.engine.handleOrder(action, this.plan.orders, this.now), this.now)
    if (action.kind === 'report') this.plan.applyReport(this.engine.report(this.now), this.now)
    this.now += stepMs
  }
})

Then('the load\'s time was recorded as less than {int} s', function (this: LostAnswersWorld, seconds: number) {
  const begun = this.now
  this.plan.requestAdapter({ model, adapter: 'a2' }, { urgency: 1, until: begun + 10_000, dueAt: begun + 10_000, missing: false, repeated: false, mayWait: true }, begun)
  const action = this.plan.nextAction(begun)
  assert.equal(action.kind, 'load')
  if (action.kind === 'load') this.plan.recordOrderOutcome(action, 'accepted', begun)
  const ready = this.plan.nextLoadDueAt(begun)
  assert.ok(ready !== undefined && ready - begun < seconds * 1_000, `expected after ${(ready ?? 0) - begun} ms`)
})
