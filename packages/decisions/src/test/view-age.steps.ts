/**
 * As of when a view is known to be complete.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Instant, Ms } from '@hazelford/core'
import fc from 'fast-check'
import { ViewAge } from '../lib/view-age.js'
import { propertyOptions } from './support/property-options.js'

/** One process with clocks of its own. */
class Process {
  readonly viewAge = new ViewAge()
  /** Revision up to which it has heard every change. */
  revision = 0
  private _suspended: Ms = 0
  private _set: Ms = 0

  constructor (private readonly _offset: Ms) {}

  /** The monotonic clock stands still while it is suspended. */
  at (time: Ms): Instant { return { now: this._offset + time - this._suspended, wall: time + this._set } }

  suspend (by: Ms): void { this._suspended += by }

  setClock (by: Ms): void { this._set += by }

  age (time: Ms): Ms { return this.viewAge.at(this.at(time)) }
}

/** What happens between the sending of a question and its answer's reading, in ms. */
interface Question {
  /** -1 asks the store. */
  readonly of: number
  readonly by: number
  readonly there: Ms
  readonly back: Ms
  /** Part of the way back for which the asker is suspended. */
  readonly suspended: Ms
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

/** Changes come each 100 ms: the revision that the store has at a time. */
function revisionAt (time: Ms): number { return Math.floor(time / 100) }

function play (questions: readonly Question[]): void {
  const all = Array.from({ length: processes }, (_, n) => new Process(n * 12_345))
  let time = 100_000
  for (const { of, by, there, back, suspended, set, after } of questions) {
    time += after
    const asker = all[by]!
    const asked = asker.at(time)
    time += there
    const told = of < 0 ? { revision: revisionAt(time), age: 0 } : { revision: all[of]!.revision, age: all[of]!.age(time) }
    time += back
    asker.suspend(Math.min(back, suspended))
    asker.setClock(set)
    asker.revision = Math.max(asker.revision, told.revision)
    asker.viewAge.answered(asked, told.age, asker.at(time))
    for (const each of all) {
      const age = each.age(time)
      if (Number.isFinite(age)) assert.ok(each.revision >= revisionAt(time - age), `revision ${each.revision} at ${time}, said to be ${age} ms old`)
    }
  }
}

Then('whatever is late, frozen, suspended or set, no view is older than it is said to be', () => {
  fc.assert(fc.property(fc.array(question, { maxLength: 25 }), play), { ...propertyOptions, numRuns: 2_000 })
})

interface ViewWorld { process: Process, time: Ms }

Given('a view that was proved a moment ago', function (this: ViewWorld) {
  this.process = new Process(0)
  this.process.viewAge.answered(this.process.at(100), 20, this.process.at(110))
  this.time = 110
  assert.equal(this.process.age(this.time), 30)
})

When('the process is suspended for {int} s', function (this: ViewWorld, seconds: number) {
  this.time += seconds * 1_000
  this.process.suspend(seconds * 1_000)
})

Then('nothing proves the view until a new question is answered', function (this: ViewWorld) {
  const { process } = this
  assert.equal(process.age(this.time), Infinity)
  process.viewAge.answered(process.at(this.time), 0, process.at(this.time + 4))
  assert.equal(process.age(this.time + 4), 4)
})
