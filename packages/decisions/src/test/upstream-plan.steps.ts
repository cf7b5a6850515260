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

function runSteps (steps: readonly Step[]): { readonly harness: PlanHarness, readonly naive: NaivePlan } {
  const harness = new PlanHarness({ slots: 2, places: 3, queueLimit: 8, draftLinger: 50 })
  const naive = new NaivePlan()
  let now = 0
  let count = 0
  for (const step of steps) {
    switch (step.kind) {
      case 'arrive': {
        const id = `r${count++}`
        naive.arrive(id)
        harness.arrive(request(id, `a${step.adapter}@1`, step.trafficClass, now, now + step.deadline), now)
        break
      }
      case 'withdraw': harness.post({ kind: 'withdraw', at: now, id: `r${step.which}` }); break
      case 'engine': harness.engineStep(step.succeeds, now); break
      case 'finish': harness.finishOne(now); break
      case 'time':
        now += step.by
        harness.post({ kind: 'tick', at: now })
        break
      case 'restart': harness.restart(now)
    }
  }
  for (let round = 0; round < settleRounds; round++) {
    now += 200
    harness.post({ kind: 'tick', at: now })
    harness.engineStep(true, now)
    harness.finishOne(now)
  }
  return { harness, naive }
}

let anySteps: fc.Arbitrary<readonly Step[]>

Given('any load, failures and withdrawals over a few slots', () => {
  anySteps = fc.array(stepArbitrary, { minLength: 1, maxLength: 120 })
})

Then('the plan and a naive plan end the same requests and start each on its adapter', () => {
  fc.assert(fc.property(anySteps, steps => {
    const { harness, naive } = runSteps(steps)
    assert.deepEqual([...harness.outcomes.keys()].sort(), [...naive.ended].sort())
    assert.equal(harness.running.size, 0)
  }), propertyOptions)
})

let harness: PlanHarness

Given('one slot whose adapter is in use', () => {
  harness = new PlanHarness({ slots: 1, places: 4, queueLimit: 10, draftLinger: 0 })
  harness.arrive(request('user', 'busy@1', 'interactive', 0, forever), 0)
  harness.engineStep(true, 0)
  harness.engineStep(true, 0)
  assert.deepEqual(harness.started, ['user'])
})

When('another adapter waits longer than its class waits for a slot', () => {
  harness.arrive(request('other', 'other@1', 'booking', 0, forever), 0)
  for (let at = 100; at <= 20_000; at += 100) harness.post({ kind: 'tick', at })
})

Then('nothing is unloaded before the last byte', () => {
  assert.deepEqual(harness.unloaded, [])
  harness.finishOne(20_000)
  assert.deepEqual(harness.unloaded, ['busy@1'])
})

Then('the waiting adapter is loaded after it', () => {
  for (let i = 0; i < 4; i++) harness.engineStep(true, 20_001)
  assert.deepEqual(harness.started, ['user', 'other'])
})

Given('one batch slot that is occupied by a slow request', () => {
  harness = new PlanHarness({ slots: 1, places: 1, queueLimit: 10, draftLinger: 0 })
  harness.arrive(request('slow', undefined, 'interactive', 0, forever), 0)
})

When('a request with a short deadline arrives', () => {
  harness.arrive(request('short', undefined, 'interactive', 0, 50), 0)
})

Then('it is refused at once with a time to retry after', () => {
  assert.equal(harness.refusals[0]?.id, 'short')
  assert.equal(harness.refusals[0]?.code, 'overloaded')
  assert.ok(harness.refusals[0].retryAfter > 0)
})

Given('one batch slot and a queue of drafts', () => {
  harness = new PlanHarness({ slots: 1, places: 1, queueLimit: 10, draftLinger: 0 })
  harness.arrive(request('running', undefined, 'draft', 0, forever), 0)
  harness.arrive(request('draft-1', undefined, 'draft', 1, forever), 1)
  harness.arrive(request('draft-2', undefined, 'draft', 2, forever), 2)
})

When('receipts keep arriving for each one that is answered', () => {
  for (let i = 0; i < 8; i++) {
    harness.arrive(request(`receipt-${i}`, undefined, 'receipt', 10 + i, forever), 10 + i)
    harness.finishOne(10 + i)
  }
})

Then('every fourth start is the oldest draft', () => {
  const drafts = harness.started.flatMap((id, i) => id.startsWith('draft') ? [i] : [])
  assert.deepEqual(drafts, [3, 7])
})

Given('a draft that waits for a permit to load', () => {
  harness = new PlanHarness({ slots: 2, places: 4, queueLimit: 10, draftLinger: 0 })
  harness.arrive(request('draft', 'd@1', 'draft', 0, forever), 0)
  assert.deepEqual(harness.requestedRanks, [2])
})

When('a receipt for another adapter arrives', () => {
  harness.arrive(request('receipt', 'r@1', 'receipt', 1, forever), 1)
})

Then('the permit is requested with the receipt\'s rank', () => assert.deepEqual(harness.requestedRanks, [2, 0]))

Then('the receipt\'s adapter is loaded first', () => {
  harness.engineStep(true, 2)
  assert.deepEqual([...harness.loading], ['r@1'])
})

Given('a request that hangs on an adapter since before an engine restart', () => {
  harness = new PlanHarness({ slots: 1, places: 4, queueLimit: 10, draftLinger: 0 })
  harness.arrive(request('hung', 'a@1', 'interactive', 0, forever), 0)
  harness.engineStep(true, 0)
  harness.engineStep(true, 0)
  harness.loaded.clear()
  harness.post({ kind: 'slots-listed', at: 1, loaded: [] })
})

When('the adapter is loaded anew for another request and the hung one is given up', () => {
  harness.arrive(request('fresh', 'a@1', 'interactive', 2, forever), 2)
  harness.engineStep(true, 2)
  harness.engineStep(true, 2)
  assert.ok(harness.running.has('fresh'))
  harness.running.delete('hung')
  harness.post({ kind: 'finished', at: 3, id: 'hung', ran: false })
})

Then('the adapter is not unloaded while the other runs', () => {
  harness.arrive(request('other', 'b@1', 'interactive', 4, forever), 4)
  assert.deepEqual(harness.unloaded, [])
})

When('a receipt arrives last', () => {
  harness.arrive(request('receipt', undefined, 'receipt', 3, forever), 3)
})

Then('the receipt starts first and the drafts follow in order', () => {
  for (let at = 10; at < 14; at++) harness.finishOne(at)
  assert.deepEqual(harness.started, ['running', 'receipt', 'draft-1', 'draft-2'])
})

Given('one slot whose adapter was unloaded with its reply lost', () => {
  harness = new PlanHarness({ slots: 1, places: 4, queueLimit: 10, draftLinger: 0 })
  harness.arrive(request('first', 'a@1', 'interactive', 0, forever), 0)
  harness.engineStep(true, 0)
  harness.engineStep(true, 0)
  harness.finishOne(1)
  harness.arrive(request('second', 'b@1', 'interactive', 2, forever), 2)
  harness.engineStep(false, 3)
})

Then('nothing starts on it until the engine was asked', () => {
  harness.arrive(request('third', 'a@1', 'interactive', 4, forever), 4)
  assert.deepEqual(harness.started, ['first'])
  assert.ok(harness.listRequested)
  for (let at = 5; at < 30; at++) {
    harness.engineStep(true, at)
    harness.finishOne(at)
  }
  assert.deepEqual([...harness.started].sort(), ['first', 'second', 'third'])
})
