/**
 * Differential tests of the upstream plan against a naive one with no limits and one queue.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import type { TrafficClass } from '@hazelford/core'
import type { PlanRequest } from '../lib/wait-queue.js'
import { PlanHarness } from './support/plan-harness.js'
import { propertyOptions } from './support/property-options.js'

type Step =
  | { readonly kind: 'arrive', readonly adapter: number, readonly trafficClass: TrafficClass, readonly deadline: number }
  | { readonly kind: 'withdraw', readonly which: number }
  | { readonly kind: 'engine', readonly succeeds: boolean }
  | { readonly kind: 'finish' }
  | { readonly kind: 'time', readonly by: number }
  | { readonly kind: 'restart' }

const settleRounds = 400
const forever = 1e9

function request (id: string, adapter: string | undefined, trafficClass: TrafficClass, arrivedAt: number, deadlineAt: number): PlanRequest {
  return { id, ...(adapter === undefined ? {} : { adapter }), trafficClass, arrivedAt, deadlineAt }
}

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('arrive' as const), adapter: fc.nat({ max: 5 }), trafficClass: fc.constantFrom<TrafficClass>('receipt', 'booking', 'interactive', 'draft'), deadline: fc.integer({ min: 1, max: 20_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('withdraw' as const), which: fc.nat({ max: 30 }) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('engine' as const), succeeds: fc.boolean() }) },
  { weight: 3, arbitrary: fc.constant({ kind: 'finish' as const }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('time' as const), by: fc.integer({ min: 1, max: 2_000 }) }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'restart' as const }) }
)

/** The naive plan: every request ends, and runs on its adapter if it runs at all. */
class NaivePlan {
  readonly ended = new Set<string>()
  arrive (id: string): void { this.ended.add(id) }
}

function runSteps (steps: readonly Step[]): { readonly bench: PlanHarness, readonly naive: NaivePlan } {
  const bench = new PlanHarness({ slots: 2, places: 3, queueLimit: 8, draftLinger: 50 })
  const naive = new NaivePlan()
  let now = 0
  let count = 0
  for (const step of steps) {
    switch (step.kind) {
      case 'arrive': {
        const id = `r${count++}`
        naive.arrive(id)
        bench.arrive(request(id, `a${step.adapter}@1`, step.trafficClass, now, now + step.deadline), now)
        break
      }
      case 'withdraw': bench.post({ kind: 'withdraw', at: now, id: `r${step.which}` }); break
      case 'engine': bench.engineStep(step.succeeds, now); break
      case 'finish': bench.finishOne(now); break
      case 'time':
        now += step.by
        bench.post({ kind: 'tick', at: now })
        break
      case 'restart': bench.restart(now)
    }
  }
  for (let round = 0; round < settleRounds; round++) {
    now += 200
    bench.post({ kind: 'tick', at: now })
    bench.engineStep(true, now)
    bench.finishOne(now)
  }
  return { bench, naive }
}

let anySteps: fc.Arbitrary<readonly Step[]>

Given('any load, failures and withdrawals over a few slots', () => {
  anySteps = fc.array(stepArbitrary, { minLength: 1, maxLength: 120 })
})

Then('the plan and a naive plan end the same requests and start each on its adapter', () => {
  fc.assert(fc.property(anySteps, steps => {
    const { bench, naive } = runSteps(steps)
    assert.deepEqual([...bench.outcomes.keys()].sort(), [...naive.ended].sort())
    assert.equal(bench.running.size, 0)
  }), propertyOptions)
})

let bench: PlanHarness

Given('one slot whose adapter is in use', () => {
  bench = new PlanHarness({ slots: 1, places: 4, queueLimit: 10, draftLinger: 0 })
  bench.arrive(request('user', 'busy@1', 'interactive', 0, forever), 0)
  bench.engineStep(true, 0)
  bench.engineStep(true, 0)
  assert.deepEqual(bench.started, ['user'])
})

When('another adapter waits longer than its class waits for a slot', () => {
  bench.arrive(request('other', 'other@1', 'booking', 0, forever), 0)
  for (let at = 100; at <= 20_000; at += 100) bench.post({ kind: 'tick', at })
})

Then('nothing is unloaded before the last byte', () => {
  assert.deepEqual(bench.unloaded, [])
  bench.finishOne(20_000)
  assert.deepEqual(bench.unloaded, ['busy@1'])
})

Then('the waiting adapter is loaded after it', () => {
  for (let i = 0; i < 4; i++) bench.engineStep(true, 20_001)
  assert.deepEqual(bench.started, ['user', 'other'])
})

Given('one batch slot that is occupied by a slow request', () => {
  bench = new PlanHarness({ slots: 1, places: 1, queueLimit: 10, draftLinger: 0 })
  bench.arrive(request('slow', undefined, 'interactive', 0, forever), 0)
})

When('a request with a short deadline arrives', () => {
  bench.arrive(request('short', undefined, 'interactive', 0, 50), 0)
})

Then('it is refused at once with a time to retry after', () => {
  assert.equal(bench.refusals[0]?.id, 'short')
  assert.equal(bench.refusals[0]?.code, 'overloaded')
  assert.ok(bench.refusals[0].retryAfter > 0)
})

Given('one batch slot and a queue of drafts', () => {
  bench = new PlanHarness({ slots: 1, places: 1, queueLimit: 10, draftLinger: 0 })
  bench.arrive(request('running', undefined, 'draft', 0, forever), 0)
  bench.arrive(request('draft-1', undefined, 'draft', 1, forever), 1)
  bench.arrive(request('draft-2', undefined, 'draft', 2, forever), 2)
})

When('receipts keep arriving for each one that is answered', () => {
  for (let i = 0; i < 8; i++) {
    bench.arrive(request(`receipt-${i}`, undefined, 'receipt', 10 + i, forever), 10 + i)
    bench.finishOne(10 + i)
  }
})

Then('every fourth start is the oldest draft', () => {
  const drafts = bench.started.flatMap((id, i) => id.startsWith('draft') ? [i] : [])
  assert.deepEqual(drafts, [3, 7])
})

Given('a draft that waits for a permit to load', () => {
  bench = new PlanHarness({ slots: 2, places: 4, queueLimit: 10, draftLinger: 0 })
  bench.arrive(request('draft', 'd@1', 'draft', 0, forever), 0)
  assert.deepEqual(bench.requestedRanks, [2])
})

When('a receipt for another adapter arrives', () => {
  bench.arrive(request('receipt', 'r@1', 'receipt', 1, forever), 1)
})

Then('the permit is requested with the receipt\'s rank', () => assert.deepEqual(bench.requestedRanks, [2, 0]))

Then('the receipt\'s adapter is loaded first', () => {
  bench.engineStep(true, 2)
  assert.deepEqual([...bench.loading], ['r@1'])
})

Given('a request that hangs on an adapter since before an engine restart', () => {
  bench = new PlanHarness({ slots: 1, places: 4, queueLimit: 10, draftLinger: 0 })
  bench.arrive(request('hung', 'a@1', 'interactive', 0, forever), 0)
  bench.engineStep(true, 0)
  bench.engineStep(true, 0)
  bench.loaded.clear()
  bench.post({ kind: 'slots-listed', at: 1, loaded: [] })
})

When('the adapter is loaded anew for another request and the hung one is given up', () => {
  bench.arrive(request('fresh', 'a@1', 'interactive', 2, forever), 2)
  bench.engineStep(true, 2)
  bench.engineStep(true, 2)
  assert.ok(bench.running.has('fresh'))
  bench.running.delete('hung')
  bench.post({ kind: 'finished', at: 3, id: 'hung', ran: false })
})

Then('the adapter is not unloaded while the other runs', () => {
  bench.arrive(request('other', 'b@1', 'interactive', 4, forever), 4)
  assert.deepEqual(bench.unloaded, [])
})

When('a receipt arrives last', () => {
  bench.arrive(request('receipt', undefined, 'receipt', 3, forever), 3)
})

Then('the receipt starts first and the drafts follow in order', () => {
  for (let at = 10; at < 14; at++) bench.finishOne(at)
  assert.deepEqual(bench.started, ['running', 'receipt', 'draft-1', 'draft-2'])
})

Given('one slot whose adapter was unloaded with its reply lost', () => {
  bench = new PlanHarness({ slots: 1, places: 4, queueLimit: 10, draftLinger: 0 })
  bench.arrive(request('first', 'a@1', 'interactive', 0, forever), 0)
  bench.engineStep(true, 0)
  bench.engineStep(true, 0)
  bench.finishOne(1)
  bench.arrive(request('second', 'b@1', 'interactive', 2, forever), 2)
  bench.engineStep(false, 3)
})

Then('nothing starts on it until the engine was asked', () => {
  bench.arrive(request('third', 'a@1', 'interactive', 4, forever), 4)
  assert.deepEqual(bench.started, ['first'])
  assert.ok(bench.listRequested)
  for (let at = 5; at < 30; at++) {
    bench.engineStep(true, at)
    bench.finishOne(at)
  }
  assert.deepEqual([...bench.started].sort(), ['first', 'second', 'third'])
})
