/**
 * Plays the load of organisations that compete for engines, and checks what each receives.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { PromptThrottle, type QueuedPrompt } from '../lib/prompt-throttle.js'
import { propertyOptions } from './support/property-options.js'
import { ReferenceThrottle } from './support/reference-throttle.js'
import { byDeficits, byShares, byStartTags, byUrgency, leastFairShare, type OrganisationLoad, type OrganisationResult, playShares, type Scheduler, tokensPerMs } from './support/share-simulation.js'

const seeds = [1, 2]
const length = 20_000
/** Requests per second that one engine can read. */
const capacity = tokensPerMs * 1_000 / 1_020

/** 16 organisations, of which two send 60 in 100 of the requests. */
function organisations (rate: number, flood: number): readonly OrganisationLoad[] {
  const weights = Array.from({ length: 16 }, (_, n) => (n + 1) ** -1.2)
  const all = weights.reduce((sum, weight) => sum + weight, 0)
  return weights.map((weight, n) => ({ name: `o${n}`, urgency: 1, rate: rate * weight / all * (n === 0 ? flood : 1), repeats: n === 0 && flood > 1 }))
}

const flooded = organisations(capacity * 0.75, 6)
const overloaded = organisations(capacity * 1.3, 1)

type Results = ReadonlyMap<string, OrganisationResult>

function play (load: readonly OrganisationLoad[], create: () => Scheduler, lasts = length): readonly Results[] {
  return seeds.map(seed => playShares(load, [create()], lasts, seed))
}

function least (results: readonly Results[]): number { return Math.min(...results.map(leastFairShare)) }

function assertShares (load: readonly OrganisationLoad[], atLeast: number, without: number): void {
  const [shared, plain] = [least(play(load, byShares)), least(play(load, byUrgency))]
  assert.ok(shared >= atLeast, `with shares ${shared}`)
  assert.ok(plain < without, `without shares ${plain}`)
}

Then('with a flood by the largest organisation every organisation receives {float} of its max-min share, and without shares one receives under {float}', (atLeast: number, without: number) => assertShares(flooded, atLeast, without))

Then('at 1.3 times what the engine reads every organisation receives {float} of its max-min share, and without shares one receives under {float}', (atLeast: number, without: number) => assertShares(overloaded, atLeast, without))

Then('every request of the organisations within their shares is answered within {int} ms', (most: number) => {
  for (const results of play(flooded, byShares)) {
    for (let n = 2; n < 16; n++) assert.ok(results.get(`o${n}`)!.worstWait <= most, `o${n} waited for ${results.get(`o${n}`)!.worstWait} ms`)
  }
})

Then('over floods and overload shares by recent service are within {float} of start-time fair queueing and no worse than deficit round robin', (margin: number) => {
  const mean = (create: () => Scheduler): number => [flooded, overloaded].flatMap(load => play(load, create).map(leastFairShare)).reduce((sum, each) => sum + each, 0) / (2 * seeds.length)
  const [shares, tags, deficits] = [mean(byShares), mean(byStartTags), mean(byDeficits)]
  assert.ok(shares >= tags - margin && shares >= deficits - 0.01, `shares ${shares}, start tags ${tags}, deficits ${deficits}`)
})

Then('with a flood over {int} engines every organisation receives {float} of its max-min share of all engines', (engines: number, atLeast: number) => {
  const load = flooded.map(each => ({ ...each, rate: each.rate * engines }))
  const share = leastFairShare(playShares(load, Array.from({ length: engines }, () => byShares()), length / 2))
  assert.ok(share >= atLeast, `least share ${share}`)
})

/** Shares of a holder that is replaced at intervals by one that knows nothing. */
function withLosses (interval: number): Scheduler {
  let current = byShares()
  let since = 0
  return {
    arrived: (request, now) => current.arrived!(request, now),
    pick: (waiting, now) => {
      if (now - since >= interval) {
        current = byShares()
        since = now
        for (const request of waiting) current.arrived!(request, now)
      }
      return current.pick(waiting, now)
    }
  }
}

Then('with a ledger that is lost every {int} s every organisation receives {float} of its max-min share', (seconds: number, atLeast: number) => {
  const share = least(play(flooded, () => withLosses(seconds * 1_000)))
  assert.ok(share >= atLeast, `least share ${share}`)
})

function servedShare (results: Results, names: readonly string[]): number {
  const sum = (list: readonly OrganisationResult[]): number => list.reduce((total, { served }) => total + served, 0)
  return sum(names.map(name => results.get(name)!)) / sum([...results.values()])
}

Then('while urgent requests ask for twice what the engine reads, less urgent ones receive {int} to {int} in 100 of the prompt tokens', (from: number, to: number) => {
  const load = [0, 1, 2, 3].map((n): OrganisationLoad => ({ name: `o${n}`, urgency: n < 2 ? 0 : 1, rate: n < 2 ? capacity : capacity / 4 }))
  for (const results of play(load, byShares)) {
    const share = servedShare(results, ['o2', 'o3']) * 100
    assert.ok(share >= from && share <= to, `less urgent ones received ${share}`)
  }
})

Then('less urgent requests are not served more often than urgent ones, also when they are few', () => {
  for (const few of [0.02, 0.05, 0.3]) {
    const load = [0, 1, 2].map((n): OrganisationLoad => ({ name: `o${n}`, urgency: n < 2 ? 0 : 1, rate: n < 2 ? capacity : capacity * few }))
    for (const results of play(load, byShares, 3 * length)) {
      const often = (name: string): number => results.get(name)!.answered / results.get(name)!.requests
      assert.ok(often('o2') <= Math.max(often('o0'), often('o1')), `few ${few}: ${often('o2')} of ${often('o0')}`)
      assert.ok(results.get('o2')!.answered > 0, `few ${few}: none served`)
    }
  }
})

Then('an urgent organisation that floods the engine receives {int} to {int} in 100 of the prompt tokens', (from: number, to: number) => {
  const load = [0, 1, 2, 3].map((n): OrganisationLoad => ({ name: `o${n}`, urgency: n === 0 ? 0 : 1, rate: n === 0 ? 6 * capacity : capacity / 3, repeats: n === 0 }))
  for (const results of play(load, byShares)) {
    const share = servedShare(results, ['o0']) * 100
    assert.ok(share >= from && share <= to, `it received ${share}`)
  }
})

/** Arrivals at a throttle, each with the ms and the batch slots before the next. */
function arrivals (organisation: fc.Arbitrary<string | undefined>, tokens: number, pause: number): fc.Arbitrary<readonly { prompt: Omit<QueuedPrompt, 'id'>, dueIn: number, pause: number, slots: number }[]> {
  return fc.array(fc.record({
    prompt: fc.record({ tokens: fc.integer({ min: 1, max: tokens }), urgency: fc.integer({ min: 0, max: 2 }), dueAt: fc.constant(0), organisation }).map(({ organisation: name, ...rest }) => name === undefined ? rest : { ...rest, organisation: name }),
    dueIn: fc.integer({ min: 100, max: 2_000 }),
    pause: fc.integer({ min: pause, max: pause + 60 }),
    slots: fc.integer({ min: 0, max: 4 })
  }), { maxLength: 40 })
}

function assertAsBefore (arrival: ReturnType<typeof arrivals>, slotWait: (now: number) => number): void {
  fc.assert(fc.property(arrival, list => {
    const [throttle, reference] = [new PromptThrottle(), new ReferenceThrottle()]
    let now = 0
    list.forEach(({ prompt, dueIn, pause, slots }, n) => {
      const queued = { ...prompt, id: `r${n}`, dueAt: now + dueIn }
      throttle.enqueue(queued, now)
      reference.enqueue(queued)
      assert.deepEqual(throttle.admit(now, slots, slotWait(now)), reference.admit(now, slots))
      now += pause
    })
  }), propertyOptions)
}

Then('with one organisation, with none, or with room to spare, requests are admitted as they were without shares', () => {
  assertAsBefore(arrivals(fc.constant(undefined), 4_000, 0), now => now % 500)
  assertAsBefore(arrivals(fc.constant('o1'), 4_000, 0), now => now % 500)
  assertAsBefore(arrivals(fc.constantFrom('o1', 'o2', undefined), 300, 60).map(list => list.map(each => ({ ...each, dueIn: 1_000 + each.dueIn, slots: 2 }))), () => 0)
})

Then('it is reported with its organisation, its wait from its first request on, and the number of requests that went first', () => {
  const throttle = new PromptThrottle()
  const prompt = (id: string, organisation: string, dueAt: number): QueuedPrompt => ({ id, organisation, tokens: 2_000, urgency: 1, dueAt })
  for (let n = 0; n < 4; n++) throttle.enqueue(prompt(`a${n}`, 'a', 300 + n), 0)
  throttle.enqueue(prompt('b', 'b', 400), 0)
  const order: string[] = []
  for (let now = 0; now < 1_000 && order.length < 5; now += 10) {
    if (now === 100) {
      // The entry's call has ended, and it asks again.
      throttle.withdraw('a3')
      throttle.enqueue(prompt('a3', 'a', 303), now)
    }
    order.push(...throttle.admit(now))
  }
  assert.deepEqual(order, ['a0', 'b', 'a1', 'a2', 'a3'])
  const last = throttle.takeDeferred().at(-1)!
  assert.ok(last.id === 'a3' && last.organisation === 'a' && last.overtakenBy === 1 && last.waited >= 250, JSON.stringify(last))
  assert.deepEqual(throttle.takeDeferred(), [])
})
