/**
 * Steps on the search for prompt parts under which upstreams terminate.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import type { Ms } from '@hazelford/core'
import { PartSuspicion } from '../lib/part-suspicion.js'
import { type PartLoad, type PartResult, simulateParts } from './support/part-simulation.js'

interface SuspicionWorld { parts: readonly PartResult[], suspicion: PartSuspicion, now: Ms }

const harmfulPart = 'harmful'
const usualLoad = { soundParts: 6, restartTime: 5_000, length: 25_000, crashes: [], harmful: [], harmfulFrom: 0 }
/** Number of terminations after which further runs are bounded. */
const allowedTerminations = 5
/** Times in ms at which racks terminate, and the share of the engines in each. */
const rackCrashes = [[5_000, 0.3], [9_000, 0.2], [9_400, 0.2], [9_800, 1], [14_000, 0.9], [20_000, 0.15], [20_500, 0.15], [21_000, 0.15], [21_500, 0.15], [22_000, 0.15], [22_500, 0.15]] as const

function simulate (world: SuspicionWorld, seeds: number, load: Omit<PartLoad, 'seed'>): void {
  world.parts = Array.from({ length: seeds }, (_, seed) => simulateParts({ ...load, seed: seed + 1 }))
}

When(/^(\d+) engines get (\d+) sound requests a second and (\d+) with a part that terminates engines (from the start|after 5 s), for (\d+) seeds$/, function (this: SuspicionWorld, engines: string, soundRate: string, rate: string, from: string, seeds: string) {
  simulate(this, Number(seeds), { ...usualLoad, engines: Number(engines), soundRate: Number(soundRate), harmful: [{ part: harmfulPart, rate: Number(rate) }], harmfulFrom: from === 'after 5 s' ? 5_000 : 0 })
})

Then('at most {int} requests with the part run later than {int} s after its fifth termination, and no other part is quarantined', function (this: SuspicionWorld, most: number, seconds: number) {
  for (const [seed, { quarantined, terminations }] of this.parts.entries()) {
    const ends = terminations.get(harmfulPart)!
    const fifth = ends[allowedTerminations - 1] ?? Infinity
    const late = ends.filter(at => at > fifth + seconds * 1_000)
    assert.ok(late.length <= most, `seed ${seed + 1}: ${late.length} later`)
    assert.deepEqual([...quarantined.keys()].filter(part => part !== harmfulPart), [], `seed ${seed + 1}`)
  }
})

When('{int} engines get {int} sound requests a second, and racks of 2 to 13 engines terminate 11 times within 20 s, for {int} seeds', function (this: SuspicionWorld, engines: number, soundRate: number, seeds: number) {
  simulate(this, seeds, { ...usualLoad, engines, soundRate, crashes: rackCrashes.map(([at, share]) => ({ at, share })) })
})

Then('no part is quarantined', function (this: SuspicionWorld) {
  for (const [seed, { quarantined }] of this.parts.entries()) assert.deepEqual([...quarantined.keys()], [], `seed ${seed + 1}`)
})

/** Records that requests with the part are lost at some upstreams, at a fixed interval from 1 s on. */
function loseRequests (world: SuspicionWorld, upstreams: number, apart: Ms, requestOf: (n: number) => string): void {
  world.suspicion = new PartSuspicion({ after: 4, holdTime: 600_000 }, () => false)
  for (let n = 0; n < upstreams; n++) {
    world.now = 1_000 + n * apart
    world.suspicion.recordTermination({ upstream: `u${n}`, at: world.now, parts: new Map([[harmfulPart, { requests: [requestOf(n)], isFirst: false }]]) }, world.now)
  }
}

When('{int} upstreams terminate, {int} ms apart, each with one request with a part and two with another part, and nothing is answered', function (this: SuspicionWorld, upstreams: number, apart: number) {
  this.suspicion = new PartSuspicion({ after: 4, holdTime: 600_000 }, () => false)
  for (let n = 0; n < upstreams; n++) {
    this.now = 1_000 + n * apart
    const sound = { requests: [`s${n}`, `t${n}`], isFirst: false }
    const harmful = { requests: [`r${n}`], isFirst: false }
    this.suspicion.recordTermination({ upstream: `u${n}`, at: this.now, parts: new Map([['sound', sound], [harmfulPart, harmful]]) }, this.now)
  }
})

Then('only the part of the fewer requests is to be quarantined', function (this: SuspicionWorld) {
  assert.deepEqual(this.suspicion.likeliest(this.now).map(({ part }) => part), [harmfulPart])
})

When('one request with a part is lost at {int} upstreams, {int} ms apart', function (this: SuspicionWorld, upstreams: number, apart: number) {
  loseRequests(this, upstreams, apart, () => 'same')
})

When(/^requests with a part are lost at (\d+) upstreams, (\d+) ms apart, and an answer to one that began (before|after) them is completed$/, function (this: SuspicionWorld, upstreams: string, apart: string, began: string) {
  loseRequests(this, Number(upstreams), Number(apart), n => `r${n}`)
  this.suspicion.recordAnswered(harmfulPart, began === 'before' ? 500 : this.now + 1)
})

Then('no part is a candidate', function (this: SuspicionWorld) { assert.deepEqual(this.suspicion.candidates(this.now), []) })

Then('the part is a candidate', function (this: SuspicionWorld) { assert.deepEqual(this.suspicion.candidates(this.now), [harmfulPart]) })
