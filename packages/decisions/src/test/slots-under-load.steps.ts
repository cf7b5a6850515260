/**
 * Checks what callers get from an engine with few adapter slots.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { AdapterDemand } from '../lib/adapter-demand.js'
import { hopelessWait } from '../lib/early-refusal.js'
import { propertyOptions } from './support/property-options.js'
import { simulateSlots, type SlotLoad, type SlotResult, type SlotSender } from './support/slot-simulation.js'

/** Value of a late stream to its caller, where a stream in time counts 1. */
const lateWeight = 0.3
const seeds = [1, 2, 3, 4]

const summaryLoad: Omit<SlotLoad, 'seed' | 'rate'> = { slots: 6, adapters: 3_000, length: 34_000, streamTime: 700, firstEventTime: 150, target: 1_000, patience: 2_500, reportInterval: 20 }

function meanValue (load: Omit<SlotLoad, 'seed'>): number {
  const results = seeds.map(seed => simulateSlots({ ...load, seed }))
  return results.reduce((sum, { inTime, late }) => sum + inTime + lateWeight * late, 0) / results.length
}

Then('at twice the load that the slots can carry callers get {float} of what they would get from an idle engine', (least: number) => {
  const got = meanValue({ ...summaryLoad, rate: 12 })
  assert.ok(got >= least, `callers get ${got}`)
})

function play (rate: number, senders: readonly SlotSender[]): readonly SlotResult[] {
  return seeds.map(seed => simulateSlots({ ...summaryLoad, rate, seed, senders }))
}

function meanServed (results: readonly SlotResult[], sender: number): number {
  return results.reduce((sum, { served }) => sum + served[sender]!, 0) / results.length
}

function withoutOrganisations (senders: readonly SlotSender[]): readonly SlotSender[] {
  return senders.map(({ urgency, part }) => ({ urgency, part }))
}

const competing: readonly SlotSender[] = [{ organisation: 'large', urgency: 1, part: 0.85 }, { organisation: 'small', urgency: 1, part: 0.15 }]
const byUrgency: readonly SlotSender[] = [{ organisation: 'urgent', urgency: 0, part: 0.9 }, { organisation: 'other', urgency: 2, part: 0.1 }]
const overload = 24

Then('the requests of the smaller organisation are served at least {float} times as often as those of the larger one, and more often than without shares', (least: number) => {
  const results = play(overload, competing)
  const [large, small] = [meanServed(results, 0), meanServed(results, 1)]
  const before = meanServed(play(overload, withoutOrganisations(competing)), 1)
  assert.ok(small >= least * large && small > before, `large ${large}, small ${small}, without shares ${before}`)
})

Then('at least {float} of the less urgent requests are served, less than of the urgent ones, and without shares under {float}', (least: number, without: number) => {
  const results = play(overload, byUrgency)
  const [urgent, other] = [meanServed(results, 0), meanServed(results, 1)]
  const before = meanServed(play(overload, withoutOrganisations(byUrgency)), 1)
  assert.ok(other >= least && other < urgent && before < without, `urgent ${urgent}, other ${other}, without shares ${before}`)
})

function refusedAtOnce (expected: number): boolean { return hopelessWait([expected], summaryLoad.patience) !== undefined }

Then('of the requests that are refused at once under {int} in 100 would have been served, and they are at least {int} in 100 of those not served', (most: number, least: number) => {
  const predictions = [competing, byUrgency].flatMap(senders => play(overload, senders)).flatMap(each => each.predictions)
  const refused = predictions.filter(({ expected }) => refusedAtOnce(expected))
  const wrong = refused.filter(({ actual }) => actual <= summaryLoad.patience).length
  const unserved = predictions.filter(({ actual }) => actual > summaryLoad.patience).length
  assert.ok(wrong * 100 < most * refused.length, `${wrong} of ${refused.length}`)
  assert.ok(refused.length * 100 >= least * unserved, `${refused.length} of ${unserved}`)
})

Then('nothing is refused at once at a load that the slots can carry, without predictions, or where one upstream has none', () => {
  const predictions = play(5, competing).flatMap(each => each.predictions)
  assert.equal(predictions.filter(({ expected }) => refusedAtOnce(expected)).length, 0)
  assert.equal(hopelessWait([], 100), undefined)
  assert.equal(hopelessWait([undefined], 100), undefined)
  assert.equal(hopelessWait([60_000, undefined, 60_000], 100), undefined)
})

Then('they are loaded in the order of requests, priority and timeliness, as without shares', () => {
  const request = fc.record({ adapter: fc.integer({ min: 0, max: 8 }), urgency: fc.integer({ min: 0, max: 2 }), dueIn: fc.integer({ min: 0, max: 1_000 }) })
  fc.assert(fc.property(fc.array(request, { maxLength: 40 }), fc.constantFrom('o1', undefined), (requests, organisation) => {
    const demand = new AdapterDemand()
    const plain = new Map<string, { count: number, urgency: number, dueAt: number, since: number }>()
    requests.forEach(({ adapter, urgency, dueIn }, n) => {
      const key = `base/a${adapter}`
      const before = plain.get(key)
      plain.set(key, { count: (before?.count ?? 0) + 1, urgency: Math.min(urgency, before?.urgency ?? Infinity), dueAt: Math.max(dueIn, before?.dueAt ?? 0), since: before?.since ?? n })
      demand.count(key, 0)
      demand.enqueue({ model: 'base', adapter: `a${adapter}` }, { urgency, until: 10_000, dueAt: dueIn, ...(organisation === undefined ? {} : { organisation }) }, 0)
      if (n % 3 === 0) demand.recordLoad(key, 0)
    })
    const weight = ({ count, urgency, dueAt }: { count: number, urgency: number, dueAt: number }): number => count * 3 ** -urgency * (dueAt >= 400 ? 1 : 0.3)
    const expected = [...plain].sort(([, a], [, b]) => weight(b) - weight(a) || a.since - b.since).map(([key]) => key)
    assert.deepEqual(demand.byPriority(0).map(({ want }) => `base/${want.adapter}`), expected)
  }), propertyOptions)
})
