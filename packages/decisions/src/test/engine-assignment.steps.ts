/**
 * Simulates claims and handovers of engines.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { claimSequences, ReclaimCooldown, pickHandover } from '../lib/engine-assignment.js'
import { propertyOptions } from './support/property-options.js'

class SimulatedAssignment {
  readonly holders = new Map<string, string>()
  entries: readonly string[]

  constructor (readonly engines: readonly string[], entries: readonly string[]) { this.entries = entries }

  /** Each free engine is claimed by the first entry in its sequence. */
  claim (): void {
    const free = this.engines.filter(engine => !this.holders.has(engine))
    for (const [engine, [first]] of claimSequences(free, this)) if (first !== undefined) this.holders.set(engine, first)
  }

  /**
   * Hands engines over until no entry has to any more.
   *
   * @returns the number of handovers
   */
  settle (): number {
    for (let moves = 0; moves <= this.engines.length; moves++) {
      const handovers = this.entries.flatMap(entry => pickHandover(entry, this, () => true) ?? [])
      assert.ok(handovers.length <= 1, 'two entries hand an engine over at once')
      const [handover] = handovers
      if (handover === undefined) return moves
      this.holders.delete(handover.engine)
      this.claim()
      assert.equal(this.holders.get(handover.engine), handover.to)
    }
    return assert.fail('engines move back and forth')
  }

  stop (entry: string): void {
    this.entries = this.entries.filter(other => other !== entry)
    for (const [engine, holder] of this.holders) if (holder === entry) this.holders.delete(engine)
  }

  counts (): readonly number[] { return this.entries.map(entry => [...this.holders.values()].filter(holder => holder === entry).length) }
}

function names (prefix: string, count: number): readonly string[] { return Array.from({ length: count }, (_, i) => `${prefix}-${i}`) }

interface AssignmentWorld { assignment: SimulatedAssignment }

Given('{int} engines held by {int} entries', function (this: AssignmentWorld, engines: number, entries: number) {
  this.assignment = new SimulatedAssignment(names('engine', engines), names('entry', entries))
  this.assignment.claim()
})

When('each entry restarts in turn', function (this: AssignmentWorld) {
  for (const entry of this.assignment.entries) {
    this.assignment.stop(entry)
    this.assignment.claim()
    this.assignment.entries = [...this.assignment.entries, entry]
  }
  this.assignment.settle()
})

Then('no entry holds more than {int} engines', function (this: AssignmentWorld, most: number) {
  assert.ok(Math.max(...this.assignment.counts()) <= most, this.assignment.counts().join())
})

const fleets = fc.record({ engines: fc.integer({ min: 1, max: 40 }), entries: fc.integer({ min: 1, max: 30 }) })

Then('for any entries and any holders the engines differ by one at most after a few handovers', () => {
  fc.assert(fc.property(fleets, fc.array(fc.nat(), { minLength: 40, maxLength: 40 }), ({ engines, entries }, picks) => {
    const assignment = new SimulatedAssignment(names('engine', engines), names('entry', entries))
    for (const [i, engine] of assignment.engines.entries()) assignment.holders.set(engine, assignment.entries[picks[i]! % entries]!)
    assignment.settle()
    assert.ok(Math.max(...assignment.counts()) - Math.min(...assignment.counts()) <= 1)
  }), propertyOptions)
})

Then('evenly distributed engines are not handed over', () => {
  fc.assert(fc.property(fleets, ({ engines, entries }) => {
    const assignment = new SimulatedAssignment(names('engine', engines), names('entry', entries))
    assignment.claim()
    assert.equal(assignment.settle(), 0)
  }), propertyOptions)
})

Then('for any entries each free engine has one first claimant and no entry is first for more than its share', () => {
  fc.assert(fc.property(fleets, ({ engines, entries }) => {
    const assignment = new SimulatedAssignment(names('engine', engines), names('entry', entries))
    assignment.claim()
    assert.equal(assignment.holders.size, engines)
    assert.ok(Math.max(...assignment.counts()) <= Math.ceil(engines / entries))
  }), propertyOptions)
})

const holderTurn = 3_000
const claimStep = 500
/** Ms that an entry serves after it was asked to stop; it sends no orders in that time. */
const drainTime = 2_600
/** Ms from an entry's start to its first claim. */
const firstClaimAfter = 900
const tick = 100

/** An entry's time as holder of an engine. */
interface HolderPeriod { readonly entry: string, readonly from: number, until: number }

/** Entries that stop and start at any time, and the engines that each of them has held. */
class HolderSimulation {
  private readonly _assignment: SimulatedAssignment
  private readonly _cooldowns = new Map<string, ReclaimCooldown>()
  private readonly _freeSince = new Map<string, number>()
  private readonly _startedAt = new Map<string, number>()
  private readonly _stoppedAt = new Map<string, number>()
  private readonly _lastHolder = new Map<string, string>()
  /** Time of each entry as holder, by engine. */
  readonly holds = new Map<string, HolderPeriod[]>()
  private _now = 0

  constructor (engines: number, entries: number) {
    this._assignment = new SimulatedAssignment(names('engine', engines), names('entry', entries))
    for (const entry of this._assignment.entries) this._cooldowns.set(entry, new ReclaimCooldown(holderTurn))
  }

  /** Advances time: entries claim free engines and hand engines over where the distribution is uneven. */
  pass (until: number): void {
    for (; this._now < until; this._now += tick) {
      for (const engine of this._assignment.engines) if (!this._assignment.holders.has(engine)) this._claim(engine)
      for (const engine of this._assignment.holders.keys()) this.holds.get(engine)!.at(-1)!.until = this._now
      for (const entry of this._assignment.entries) this._handOver(entry)
    }
  }

  toggle (entry: string): void {
    if (this._assignment.entries.includes(entry)) {
      for (const [engine, holder] of this._assignment.holders) if (holder === entry) this._release(engine, entry)
      this._assignment.stop(entry)
      this._stoppedAt.set(entry, this._now)
      return
    }
    if (this._now - this._stoppedAt.get(entry)! < drainTime) return
    this._assignment.entries = [...this._assignment.entries, entry]
    this._cooldowns.set(entry, new ReclaimCooldown(holderTurn))
    this._startedAt.set(entry, this._now)
  }

  private _release (engine: string, entry: string): void {
    this._assignment.holders.delete(engine)
    this._lastHolder.set(engine, entry)
    this._cooldowns.get(entry)!.recordRelease(engine, this._now)
    this._freeSince.set(engine, this._now)
  }

  private _claim (engine: string): void {
    const since = this._freeSince.get(engine) ?? 0
    const sequence = claimSequences([engine], this._assignment).get(engine)!
    const claimant = sequence.find((entry, rank) => this._now - since >= rank * claimStep && this._now - (this._startedAt.get(entry) ?? -firstClaimAfter) >= firstClaimAfter &&
      (this._lastHolder.get(engine) === entry || this._cooldowns.get(entry)!.mayReclaim(engine, this._now)))
    if (claimant === undefined) return
    this._assignment.holders.set(engine, claimant)
    this.holds.set(engine, [...this.holds.get(engine) ?? [], { entry: claimant, from: this._now, until: this._now }])
  }

  private _handOver (entry: string): void {
    const handover = pickHandover(entry, this._assignment, () => true)
    if (handover !== undefined) this._release(handover.engine, entry)
  }
}

Then('for any handovers, stops and starts no entry holds an engine both before and after another within a holder turn', () => {
  const steps = fc.array(fc.record({ entry: fc.nat(4), after: fc.integer({ min: 1, max: 30 }) }), { maxLength: 30 })
  fc.assert(fc.property(steps, list => {
    const simulation = new HolderSimulation(8, 5)
    let now = 1_000
    simulation.pass(now)
    for (const { entry, after } of list) {
      simulation.toggle(`entry-${entry}`)
      simulation.pass(now += after * tick)
    }
    for (const periods of simulation.holds.values()) assertNoReturnWithinTurn(periods)
  }), propertyOptions)
})

function assertNoReturnWithinTurn (periods: readonly HolderPeriod[]): void {
  for (const [i, period] of periods.entries()) {
    const earlier = periods.slice(0, i).findLast(({ entry }) => entry === period.entry)
    const between = earlier === undefined ? 0 : periods.slice(periods.indexOf(earlier) + 1, i).length
    if (between > 0) assert.ok(period.from - earlier!.until >= holderTurn, `${period.entry} holds the engine again after ${period.from - earlier!.until} ms: ${JSON.stringify(periods)}`)
  }
}
