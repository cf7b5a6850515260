/**
 * Checks how the speeds of engines decide about homes and the ranking.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { EngineSpeed } from '../lib/engine-speed.js'
import { homesWithSpeed, homeWeight, type PlacementCandidate, type PlacementContext, rankCandidates } from '../lib/place-request.js'
import { rendezvousOrder, weightedRendezvousOrder, weightedScore } from '../lib/rendezvous.js'
import { propertyOptions } from './support/property-options.js'

const engines = Array.from({ length: 12 }, (_, n) => `i-${n}`)
const adapters = Array.from({ length: 20_000 }, (_, n) => `model/a${n}`)
const slow = 1 / 2.4

function candidate (id: string, over: Partial<PlacementCandidate>): PlacementCandidate {
  return { id, sameZone: true, running: 0, promptBacklog: 0, slots: 32, speed: 1, latency: 0, failureShare: 0, adapter: 'loaded', rank: 0, ...over }
}

/** The cost of a candidate whose speed is not known. */
function costWithoutSpeed (at: PlacementCandidate, { replicas, serviceTime }: PlacementContext): number {
  const home = at.rank < replicas
  const away = home ? 0 : 20
  const load = home ? replicas > 1 ? 40 : 250 : 530
  const adapter = { loaded: away, recent: 40 + away, loadable: load, unavailable: 1_500 + away }[at.adapter]
  const wait = Math.max(0, at.running + 1 - at.slots) * Math.max(40, serviceTime / at.slots)
  return adapter + (at.sameZone ? 0 : 4) + at.running / at.slots * 120 + wait + at.promptBacklog / 35 + at.failureShare * 800 + at.latency
}

Then('requests are ranked in the order of the costs without speeds', () => {
  const part = fc.record({
    sameZone: fc.boolean(),
    running: fc.nat(80),
    promptBacklog: fc.nat(20_000),
    slots: fc.integer({ min: 1, max: 64 }),
    latency: fc.nat(500),
    failureShare: fc.double({ min: 0, max: 1, noNaN: true }),
    adapter: fc.constantFrom('loaded', 'recent', 'loadable', 'unavailable')
  })
  const context = fc.record({ replicas: fc.integer({ min: 1, max: 5 }), serviceTime: fc.nat(4_000), promptTokens: fc.nat(4_000) })
  fc.assert(fc.property(fc.array(part, { minLength: 1, maxLength: 12 }), context, (parts, shared) => {
    const candidates = parts.map((over, rank) => candidate(`i-${rank}`, { ...over, rank }))
    const naive = [...candidates].sort((a, b) => costWithoutSpeed(a, shared) - costWithoutSpeed(b, shared) || a.rank - b.rank)
    assert.deepEqual(rankCandidates(candidates, shared).map(({ id }) => id), naive.map(({ id }) => id))
  }), propertyOptions)
})

Then('weighted homes of equal weight are those of the unweighted order', () => {
  const names = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 1, maxLength: 40 })
  fc.assert(fc.property(names, fc.string(), fc.constantFrom(1, 0.25, 3), (nodes, key, weight) => {
    assert.deepEqual(weightedRendezvousOrder(key, nodes.map(node => ({ node, weight }))), rendezvousOrder(key, nodes))
  }), propertyOptions)
})

/** Weight at which a slower engine uses as many adapter slots as another. */
function expectedWeight (speed: number): number { return speed }

function firstHomes (speedOf: (engine: string) => number): readonly string[] {
  const nodes = engines.map(node => ({ node, weight: homeWeight(speedOf(node)) }))
  return adapters.map(adapter => weightedRendezvousOrder(adapter, nodes)[0]!)
}

Then('each engine is the first home of a share of the adapters by its weight', () => {
  const speedOf = (engine: string): number => Number(engine.slice(2)) % 3 === 0 ? slow : 1
  const sum = engines.reduce((total, engine) => total + expectedWeight(speedOf(engine)), 0)
  const homes = firstHomes(speedOf)
  for (const engine of engines) {
    const expected = adapters.length * expectedWeight(speedOf(engine)) / sum
    const homeOf = homes.filter(home => home === engine).length
    assert.ok(Math.abs(homeOf - expected) < 4 * Math.sqrt(expected), `${engine} is home of ${homeOf}, by its weight of ${expected}`)
  }
})

Then("a change of one engine's weight moves only adapters to it or from it", () => {
  const before = firstHomes(() => 1)
  const after = firstHomes(engine => engine === 'i-5' ? slow : 1)
  const moved = adapters.filter((_, n) => before[n] !== after[n])
  for (const [n, home] of before.entries()) if (home !== after[n]) assert.equal(home, 'i-5')
  // A twelfth of the adapters were there; the share that stays is its new weight.
  const expected = adapters.length / 12 * (1 - expectedWeight(slow) * 12 / (11 + expectedWeight(slow)))
  assert.ok(Math.abs(moved.length - expected) < 5 * Math.sqrt(expected), `${moved.length} moved, expected ${expected}`)
})

Then('the smallest and the largest hashes give scores in their order', () => {
  const scores = [2 ** 32 - 1, 2 ** 32 - 2, 1, 0].map(hash => weightedScore(hash, 0.2))
  assert.ok(scores[0]! > 0 && scores.every(Number.isFinite), String(scores))
  assert.deepEqual([...scores].sort((a, b) => a - b), scores)
  assert.equal(new Set(scores).size, scores.length)
})

Then('a home that is slow is left for a fast one that had the adapter lately', () => {
  const [best] = rankCandidates([
    candidate('slow home', { speed: slow, running: 12 }),
    candidate('fast', { rank: 1, adapter: 'recent', running: 12 })
  ], { replicas: 1, serviceTime: 1_300, promptTokens: 2_400 })
  assert.equal(best?.id, 'fast')
})

Then('a rarely used adapter gets no second copy for the speed of its home', () => {
  const [best] = rankCandidates([candidate('slow home', { speed: slow, running: 6 }), candidate('fast', { rank: 1, adapter: 'loadable' })], { replicas: 1, serviceTime: 1_300, promptTokens: 800 })
  assert.equal(best?.id, 'slow home')
  assert.equal(homesWithSpeed(1, [slow, 1, 1]), 1)
})

Then('a popular adapter has homes enough to make up for the slow ones', () => {
  fc.assert(fc.property(fc.integer({ min: 2, max: 12 }), fc.array(fc.constantFrom(slow, 1, 1.25), { minLength: 1, maxLength: 12 }), (wanted, speeds) => {
    const homes = homesWithSpeed(wanted, speeds)
    const speedOf = (count: number): number => speeds.slice(0, count).reduce((sum, speed) => sum + speed, 0)
    assert.ok(homes === speeds.length || speedOf(homes) >= wanted)
    assert.ok(speedOf(homes - 1) < wanted)
  }), propertyOptions)
})

Then('requests go to an engine of twice the speed until it has about twice the requests of the others', () => {
  const running = new Map([['fast', 0], ['a', 0], ['b', 0], ['c', 0]])
  for (let n = 0; n < 60; n++) {
    const candidates = [...running].map(([id, count], rank) => candidate(id, { rank, running: count, speed: id === 'fast' ? 2 : 1 }))
    const { id } = rankCandidates(candidates, { replicas: 4, serviceTime: 1_300, promptTokens: 0 })[0]!
    running.set(id, running.get(id)! + 1)
  }
  const share = running.get('fast')! / 60
  assert.ok(share >= 0.3 && share <= 0.6, `${running.get('fast')} of 60 requests`)
})

/** Pace in ms of an engine without load, and the share by which a full batch lengthens it. */
const idlePace = 40
const fullBatchSlowdown = 0.5

Then('the speeds of all engines settle within {int} rounds of measurements and stay', (rounds: number) => {
  for (const fullness of [0.2, 0.5, 0.9]) {
    const measured = engines.map((_, n) => ({ own: n % 3 === 0 ? slow : 1, speed: new EngineSpeed() }))
    const history: string[] = []
    for (let round = 0; round < 60; round++) {
      const sum = measured.reduce((total, { speed }) => total + homeWeight(speed.speed), 0)
      const paces = measured.map(({ own, speed }) => {
        const share = homeWeight(speed.speed) / sum * engines.length
        return idlePace / own * (1 + fullBatchSlowdown * Math.min(1, fullness * share / own))
      })
      const reference = [...paces].sort((a, b) => a - b)[engines.length / 2]!
      measured.forEach(({ speed }, n) => speed.record(Array.from({ length: 24 }, () => paces[n]! / reference), round * 5_000))
      history.push(measured.map(({ speed }) => speed.speed).join())
    }
    assert.equal(new Set(history.slice(rounds)).size, 1, `at ${fullness} of the slots: ${[...new Set(history)].join(' | ')}`)
  }
})
