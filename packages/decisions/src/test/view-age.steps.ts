/**
 * Tests of the age of a view.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Instant, Ms } from '@hazelford/core'
import fc from 'fast-check'
import { ViewAge } from '../lib/view-age.js'
import { propertyOptions } from './support/property-options.js'

/** One process with clocks of its own. */
class SimulatedProcess {
  readonly viewAge = new ViewAge()
  /** Revision up to which it has received every change. */
  revision = 0
  private _suspended: Ms = 0
  /** Ms by which its wall clock was set. */
  private _set: Ms = 0

  constructor (private readonly _offset: Ms) {}

  /** The monotonic clock stands still while the process is suspended. */
  at (time: Ms): Instant { return { now: this._offset + time - this._suspended, wall: time + this._set } }

  suspend (by: Ms): void { this._suspended += by }

  setClock (by: Ms): void { this._set += by }

  age (time: Ms): Ms { return this.viewAge.at(this.at(time)) }
}

/** A question to the store or to another process. Times are in ms. */
interface Question {
  /** The process that is asked; -1 for the store. */
  readonly of: number
  readonly by: number
  /** Time until the question arrives. */
  readonly there: Ms
  /** Time from then on until the answer is read. */
  readonly back: Ms
  /** Part of `back` for which the asking process is suspended. */
  readonly suspended: Ms
  /** Ms by which the wall clock of the asking process is set meanwhile. */
  readonly set: Ms
  /** Time since the last question. */
  readonly after: Ms
}

const processes = 4
const delay = fc.integer({ min: 0, max: 9_000 })
const question: fc.Arbitrary<Question> = fc.record({
  of: fc.integer({ min: -1, max: processes - 1 }),
  by: fc.integer({ min: 0, max: processes - 1 }),
  there: delay,
  back: delay,
  suspended: fc.oneof(fc.constant(0), delay),
  set: fc.oneof({ weight: 4, arbitrary: fc.constant(0) }, { weight: 1, arbitrary: fc.constantFrom(-2_400_000, 2_400_000) }),
  after: delay
})

/** Revision of the store at a time; it changes every 100 ms. */
function revisionAt (time: Ms): number { return Math.floor(time / 100) }

function simulate (questions: readonly Question[]): void {
  const all = Array.from({ length: processes }, (_, n) => new SimulatedProcess(n * 12_345))
  let time = 100_000
  for (const { of, by, there, back, suspended, set, after } of questions) {
    time += after
    const asker = all[by]!
    const asked = asker.at(time)
    time += there
    const answer = of < 0 ? { revision: revisionAt(time), age: 0 } : { revision: all[of]!.revision, age: all[of]!.age(time) }
    time += back
    asker.suspend(Math.min(back, suspended))
    asker.setClock(set)
    asker.revision = Math.max(asker.revision, answer.revision)
    asker.viewAge.recordAnswer(asked, answer.age, asker.at(time))
    for (const each of all) {
      const age = each.age(time)
      if (Number.isFinite(age)) assert.ok(each.revision >= revisionAt(time - age), `revision ${each.revision} at ${time}, reported age ${age} ms`)
    }
  }
}

Then('whatever is late, frozen, suspended or set, no view is older than its reported age', () => {
  fc.assert(fc.property(fc.array(question, { maxLength: 25 }), simulate), { ...propertyOptions, numRuns: 2_000 })
})

interface ViewWorld { process: SimulatedProcess, time: Ms }

Given('a view whose age was confirmed a moment ago', function (this: ViewWorld) {
  this.process = new SimulatedProcess(0)
  this.process.viewAge.recordAnswer(this.process.at(100), 20, this.process.at(110))
  this.time = 110
  assert.equal(this.process.age(this.time), 30)
})

When('the process is suspended for {int} s', function (this: ViewWorld, seconds: number) {
  this.time += seconds * 1_000
  this.process.suspend(seconds * 1_000)
})

Then('the age of the view is unknown until a new question is answered', function (this: ViewWorld) {
  const { process } = this
  assert.equal(process.age(this.time), Infinity)
  process.viewAge.recordAnswer(process.at(this.time), 0, process.at(this.time + 4))
  assert.equal(process.age(this.time + 4), 4)
})
