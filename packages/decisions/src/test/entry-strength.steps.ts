/**
 * Distributes engines over entries of different strengths, and compares with the even distribution.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { claimSequences, type EngineAssignment, pickHandover } from '../lib/engine-assignment.js'
import { entryStrengths, type RegisteredEntry } from '../lib/entry-strength.js'
import { evenClaimSequences, pickEvenHandover } from './support/even-assignment.js'
import { propertyOptions } from './support/property-options.js'

const strengths = [0, 0.184, 0.243, 0.594, 1, 1.35, 8] as const

/** Entries of one or two builds that claim engines and hand them over; those without `cores` distribute evenly. */
class SimulatedBuilds {
  readonly holders = new Map<string, string>()

  constructor (readonly engines: readonly string[], public entries: readonly RegisteredEntry[]) {}

  private get _assignment (): EngineAssignment {
    return { entries: this.entries.map(({ node }) => node), holders: this.holders, strengths: entryStrengths(this.entries) }
  }

  place (picks: readonly number[]): void {
    for (const [i, engine] of this.engines.entries()) this.holders.set(engine, this.entries[picks[i]! % this.entries.length]!.node)
  }

  /** Each free engine is claimed by the entry that ranks itself highest. */
  claim (): void {
    const free = this.engines.filter(engine => !this.holders.has(engine))
    const [even, byStrength] = [evenClaimSequences(free, this._assignment), claimSequences(free, this._assignment)]
    for (const engine of free) {
      const rank = ({ node, cores }: RegisteredEntry): number => (cores === undefined ? even : byStrength).get(engine)!.indexOf(node)
      this.holders.set(engine, [...this.entries].sort((a, b) => rank(a) - rank(b))[0]!.node)
    }
  }

  /** Hands engines over until no entry does any more, or fails after as many handovers as there are engines. */
  settle (): void {
    for (let moves = 0; moves <= this.engines.length; moves++) {
      const handover = this.entries.flatMap(({ node, cores }) => (cores === undefined ? pickEvenHandover : pickHandover)(node, this._assignment, () => true) ?? [])[0]
      if (handover === undefined) return
      this.holders.delete(handover.engine)
      this.claim()
    }
    assert.fail('engines move back and forth')
  }

  held (node: string): number { return [...this.holders.values()].filter(holder => holder === node).length }
}

function entriesOf (cores: readonly (number | undefined)[]): readonly RegisteredEntry[] {
  return cores.map((value, i) => ({ node: `entry-${i}`, ...(value === undefined ? {} : { cores: value }) }))
}

function enginesOf (count: number): readonly string[] { return Array.from({ length: count }, (_, i) => `engine-${i}`) }

/** Bound on the engines of one entry: a tenth, or the even share where that is more. */
function boundOf ({ engines, entries }: SimulatedBuilds): number { return Math.max(Math.ceil(engines.length / entries.length), Math.floor(engines.length / 10)) }

const engineCount = fc.integer({ min: 1, max: 60 })
const picksOf = fc.array(fc.nat(), { minLength: 60, maxLength: 60 })

interface StrengthWorld { builds: SimulatedBuilds, settled: readonly SimulatedBuilds[] }

Given('{int} engines held by {int} entries of {float} cores, {int} of {float} and {int} of {float}', function (this: StrengthWorld, engines: number, weak: number, a: number, middle: number, b: number, strong: number, c: number) {
  this.builds = new SimulatedBuilds(enginesOf(engines), entriesOf([...Array(weak).fill(a), ...Array(middle).fill(b), ...Array(strong).fill(c)]))
})

When('the engines are distributed from any start', function (this: StrengthWorld) {
  this.settled = fc.sample(picksOf, { numRuns: 50, seed: propertyOptions.seed }).map(picks => {
    const builds = new SimulatedBuilds(this.builds.engines, this.builds.entries)
    builds.place(picks)
    builds.settle()
    return builds
  })
})

Then('the entries of {float} cores hold at most {int} engines together', function (this: StrengthWorld, cores: number, most: number) {
  for (const builds of this.settled) {
    const held = builds.entries.filter(entry => entry.cores === cores).reduce((sum, { node }) => sum + builds.held(node), 0)
    assert.ok(held <= most, `${held}`)
  }
})

Then('no entry of them exceeds {int} engines', function (this: StrengthWorld, most: number) {
  for (const builds of this.settled) for (const { node } of builds.entries) assert.ok(builds.held(node) <= most, `${node} holds ${builds.held(node)}`)
})

Then('with equal or unknown strengths each claim and each handover is the same as by the even distribution', () => {
  const alike = fc.constantFrom(undefined, ...strengths)
  fc.assert(fc.property(engineCount, fc.integer({ min: 1, max: 30 }), alike, picksOf, fc.array(fc.boolean(), { minLength: 60, maxLength: 60 }), (engines, count, cores, picks, isFree) => {
    const entries = entriesOf(Array(count).fill(cores))
    const holders = new Map<string, string>()
    const free = enginesOf(engines).filter((engine, i) => {
      // Holders outside of the list have lost their leases or have just started.
      if (!isFree[i]) holders.set(engine, `entry-${picks[i]! % (count + 2)}`)
      return isFree[i]
    })
    const assignment = { entries: entries.map(({ node }) => node), holders, strengths: entryStrengths(entries) }
    assert.deepEqual([...claimSequences(free, assignment)], [...evenClaimSequences(free, assignment)])
    for (const { node } of entries) assert.deepEqual(pickHandover(node, assignment, () => true), pickEvenHandover(node, assignment, () => true))
  }), propertyOptions)
})

Then('for any strengths and any holders the handovers end, no entry exceeds its bound, and no weaker entry holds more engines', () => {
  fc.assert(fc.property(engineCount, fc.array(fc.constantFrom(...strengths), { minLength: 1, maxLength: 30 }), picksOf, (engines, cores, picks) => {
    const builds = new SimulatedBuilds(enginesOf(engines), entriesOf(cores))
    builds.place(picks)
    builds.settle()
    const strengthOf = entryStrengths(builds.entries)
    const held = builds.entries.map(({ node }) => ({ strength: strengthOf.get(node)!, engines: builds.held(node) }))
    for (const entry of held) {
      assert.ok(entry.engines <= boundOf(builds), `${entry.engines}`)
      for (const other of held) if (other.strength > entry.strength) assert.ok(entry.engines <= other.engines, JSON.stringify(held))
    }
  }), propertyOptions)
})

Then('for any entries of both builds each engine gets a holder, the handovers end, and the last upgrade distributes by strength', () => {
  const cores = fc.constantFrom(...strengths)
  fc.assert(fc.property(engineCount, fc.array(fc.tuple(cores, fc.boolean()), { minLength: 2, maxLength: 30 }), picksOf, (engines, hosts, picks) => {
    const mixed = [...hosts.map(([value, isOld]) => isOld ? undefined : value), undefined]
    const builds = new SimulatedBuilds(enginesOf(engines), entriesOf(mixed))
    builds.claim()
    assert.equal(builds.holders.size, engines)
    builds.place(picks)
    builds.settle()
    builds.entries = entriesOf([...hosts.map(([value]) => value), 1])
    builds.settle()
    assert.equal(builds.holders.size, engines)
    for (const { node } of builds.entries) assert.ok(builds.held(node) <= boundOf(builds))
  }), propertyOptions)
})

Then('it counts as the median of those known', () => {
  const counted = entryStrengths(entriesOf([0.184, 0, 1.35, 0.594]))
  assert.equal(counted.get('entry-1'), 0.594)
  assert.equal(counted.get('entry-0'), 0.184)
})
