/**
 * Plays asks against the plan of one engine, with an engine that loses and delays orders.
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

/** An engine that counts orders, and refuses one whose sender knew fewer. */
class PlayedEngine {
  /** @param loadTime - ms */
  constructor (readonly loadTime = 250) {}

  readonly held = new Map<string, number>()
  readonly coming = new Map<string, number>()
  orders = 0
  conflicts = 0
  most = 0
  mostComing = 0

  take ({ kind, target }: Order, after: number, now: number): EngineOrderOutcome {
    this._arrive(now)
    const adapter = target.adapter!
    // Asked after again, a load under way is accepted whatever it is based on, and not counted.
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
    this.most = Math.max(this.most, this.held.size + this.coming.size)
    this.mostComing = Math.max(this.mostComing, this.coming.size)
    return 'accepted'
  }

  report (now: number): EngineReport {
    this._arrive(now)
    return {
      models: [{ model, version: 1, adapters: [...this.held.keys()].map(adapter => ({ adapter, version: 1 })) }],
      coming: [...this.coming.keys()].map(adapter => ({ model, adapter, version: 1 })),
      busy: false,
      orders: this.orders,
      running: 0,
      waiting: 0
    }
  }

  private _arrive (now: number): void {
    for (const [adapter, at] of this.coming) {
      if (at > now) continue
      this.coming.delete(adapter)
      this.held.set(adapter, 1)
    }
  }
}

type Fate = 'answered' | 'lost-before' | 'lost-after' | 'late'

interface Play { readonly asks: readonly { readonly adapter: number, readonly gap: number }[], readonly fates: readonly Fate[] }

const plays: fc.Arbitrary<Play> = fc.record({
  asks: fc.array(fc.record({ adapter: fc.integer({ min: 1, max: 12 }), gap: fc.integer({ min: 0, max: 120 }) }), { minLength: 20, maxLength: 80 }),
  fates: fc.array(fc.constantFrom<Fate>('answered', 'answered', 'answered', 'lost-before', 'lost-after', 'late'), { minLength: 5, maxLength: 40 })
})

/** Plays all asks; an order's fate decides whether it arrives, and whether its answer does. */
function play ({ asks, fates }: Play, loadTime?: number): PlayedEngine {
  const engine = new PlayedEngine(loadTime)
  const plan = new AdapterPlan(specOf(4))
  const late: { at: number, order: Order, after: number }[] = []
  let [now, sent] = [0, 0]
  const step = (): void => {
    for (const { order, after } of late.filter(({ at }) => at <= now)) engine.take(order, after, now)
    late.splice(0, late.length, ...late.filter(({ at }) => at > now))
    const action = plan.nextAction(now)
    if (action.kind === 'idle') return
    if (action.kind === 'report') {
      plan.applyReport(engine.report(now), now)
      return
    }
    const fate = fates[sent++ % fates.length]!
    if (fate === 'late') late.push({ at: now + 3_000, order: action, after: plan.orders })
    const outcome = fate === 'answered' || fate === 'lost-after' ? engine.take(action, plan.orders, now) : undefined
    const heard = fate === 'answered' ? outcome : undefined
    plan.recordOrderOutcome(action, heard, now)
  }
  for (const { adapter, gap } of asks) {
    for (const end = now + gap; now < end; now += 10) step()
    plan.requestAdapter({ model, adapter: `a${adapter}` }, { urgency: 1, until: now + 2_000, dueAt: now + 1_000, missing: false, repeated: false, mayWait: true }, now)
  }
  for (const end = now + 6_000; now < end; now += 10) step()
  return engine
}

Then('for any asks and any lost or late orders the engine never holds more than its slots', () => {
  fc.assert(fc.property(plays, input => assert.ok(play(input).most <= 4)), propertyOptions)
})

Then('for any asks and any lost or late orders at most four adapters are in transit', () => {
  fc.assert(fc.property(plays, input => assert.ok(play(input).mostComing <= 4)), propertyOptions)
})

interface PlanWorld { plan: AdapterPlan, now: number, readiness: Readiness }

function report (adapters: readonly string[]): EngineReport {
  return { models: [{ model, version: 1, adapters: adapters.map(adapter => ({ adapter, version: 1 })) }], coming: [], busy: false, orders: 0, running: 0, waiting: 0 }
}

function ask (world: PlanWorld, adapter: string, mayWait = true, version?: number): void {
  const want = { model, adapter, ...(version === undefined ? {} : { version }) }
  world.readiness = world.plan.requestAdapter(want, { urgency: 1, until: world.now + 2_000, dueAt: world.now + 1_000, missing: false, repeated: false, mayWait }, world.now)
}

function prepare (world: PlanWorld, slots: number, adapters: readonly string[]): void {
  world.now = 0
  world.plan = new AdapterPlan(specOf(slots))
  world.plan.applyReport(report(adapters), 0)
}

Given('an engine with 2 adapter slots, both promised', function (this: PlanWorld) {
  prepare(this, 2, ['a1', 'a2'])
  ask(this, 'a1')
  ask(this, 'a2')
  assert.equal(this.readiness.kind, 'ready')
})

When('a third adapter is asked for', function (this: PlanWorld) { ask(this, 'a3') })

Then('nothing is unloaded before the promises end', function (this: PlanWorld) {
  assert.equal(this.plan.nextAction(200).kind, 'idle')
  assert.equal(this.plan.nextAction(400).kind, 'unload')
})

Given('an engine with 2 adapter slots, both in use', function (this: PlanWorld) {
  prepare(this, 2, ['a1', 'a2'])
  this.plan.recordUse('entry-1', [`${model}/a1`, `${model}/a2`], 0)
})

Then('a third adapter is answered with "occupied" when its request may not wait', function (this: PlanWorld) {
  ask(this, 'a3', false)
  assert.equal(this.readiness.kind, 'occupied')
  ask(this, 'a3', true)
  assert.equal(this.readiness.kind, 'coming')
})

Given('20 adapters whose callers have left', function (this: PlanWorld) {
  prepare(this, 4, [])
  for (let n = 0; n < 20; n++) ask(this, `old${n}`)
  this.now = 5_000
})

When('another adapter is asked for', function (this: PlanWorld) { ask(this, 'new') })

Then('it is the next one loaded', function (this: PlanWorld) {
  const action = this.plan.nextAction(this.now)
  assert.ok(action.kind === 'load' && action.target.adapter === 'new')
})

Then('the adapter that most wait for is loaded among the first four', function (this: PlanWorld) {
  prepare(this, 36, [])
  for (let n = 0; n < 60; n++) {
    this.now = n * 1_000 / 60
    ask(this, n % 5 === 4 ? 'hot' : `rare${n}`)
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

When('version 2 of it is asked for', function (this: PlanWorld) { ask(this, 'a1', true, 2) })

Then('no load is ordered before its requests have ended', function (this: PlanWorld) {
  assert.equal(this.plan.nextAction(100).kind, 'idle')
  this.plan.recordUse('entry-1', [], 200)
  const action = this.plan.nextAction(300)
  assert.ok(action.kind === 'load' && action.target.version === 2)
})

Then('of the orders of 60 asks for adapters whose loads take {int} ms none is refused', (loadTime: number) => {
  const asks = Array.from({ length: 60 }, (_, n) => ({ adapter: 1 + n * 5 % 12, gap: 90 }))
  const engine = play({ asks, fates: ['answered'] }, loadTime)
  assert.ok(engine.orders > 20, `only ${engine.orders} orders`)
  assert.equal(engine.conflicts, 0)
})

interface LostWorld { plan: AdapterPlan, engine: PlayedEngine, now: number }

const lostLoadMs = 1_500
const stepMs = 10
/** When the first order is sent; clocks of long-lived processes are far from 0. */
const startedMs = 1_000_000

Given('an engine that takes the order of an adapter, whose answers are all lost', function (this: LostWorld) {
  this.engine = new PlayedEngine(lostLoadMs)
  this.plan = new AdapterPlan(specOf(4))
  this.now = startedMs
  assert.equal(this.plan.nextAction(this.now).kind, 'report')
  this.plan.applyReport(this.engine.report(this.now), this.now)
  this.plan.requestAdapter({ model, adapter: 'a1' }, { urgency: 1, until: this.now + 10_000, dueAt: this.now + 10_000, missing: false, repeated: false, mayWait: true }, this.now)
  for (let action = this.plan.nextAction(this.now); action.kind === 'load' || action.kind === 'unload'; action = this.plan.nextAction(this.now)) {
    this.engine.take(action, 0, this.now)
    this.now += stepMs
    this.plan.recordOrderOutcome(action, undefined, this.now)
  }
})

When('a report says that the adapter is coming', function (this: LostWorld) {
  while (this.plan.nextAction(this.now).kind === 'idle') this.now += stepMs
  assert.equal(this.plan.nextAction(this.now).kind, 'report')
  const report = this.engine.report(this.now)
  assert.equal(report.coming.length, 1)
  this.plan.applyReport(report, this.now)
})

Then('the adapter is promised within {int} ms of being there', function (this: LostWorld, ms: number) {
  const latest = startedMs + lostLoadMs + ms
  while (this.plan.reserve({ model, adapter: 'a1' }, this.now)?.kind !== 'ready') {
    assert.ok(this.now <= latest, 'not promised')
    const ready = this.plan.nextLoadDueAt(this.now)
    assert.ok(ready === undefined || Number.isFinite(ready), `next look at ${ready}`)
    const action = this.plan.nextAction(this.now)
    if (action.kind === 'load') this.plan.recordOrderOutcome(action, this.engine.take(action, this.plan.orders, this.now), this.now)
    if (action.kind === 'report') this.plan.applyReport(this.engine.report(this.now), this.now)
    this.now += stepMs
  }
})

Then('the load\'s time was learned as less than {int} s', function (this: LostWorld, seconds: number) {
  const begun = this.now
  this.plan.requestAdapter({ model, adapter: 'a2' }, { urgency: 1, until: begun + 10_000, dueAt: begun + 10_000, missing: false, repeated: false, mayWait: true }, begun)
  const action = this.plan.nextAction(begun)
  assert.equal(action.kind, 'load')
  if (action.kind === 'load') this.plan.recordOrderOutcome(action, 'accepted', begun)
  const ready = this.plan.nextLoadDueAt(begun)
  assert.ok(ready !== undefined && ready - begun < seconds * 1_000, `expected after ${(ready ?? 0) - begun} ms`)
})
