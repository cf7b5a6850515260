/**
 * Checks the record of a process's own pauses.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import type { Clock, Ms } from '@hazelford/core'
import { EventLoopPauses } from '../lib/event-loop-pauses.js'

/** A clock whose timers run late. */
class LateClock implements Clock {
  private _now: Ms = 0
  private _timer: { readonly at: Ms, readonly run: () => void } | undefined

  now = (): Ms => this._now
  wall = (): Ms => this._now
  after = (delay: Ms, run: () => void): () => void => {
    this._timer = { at: this._now + delay, run }
    return () => { this._timer = undefined }
  }

  /** Lets the process run on without a pause. */
  run (ms: Ms): void {
    const end = this._now + ms
    for (let timer = this._timer; timer !== undefined && timer.at <= end; timer = this._timer) {
      this._now = Math.max(this._now, timer.at)
      this._timer = undefined
      timer.run()
    }
    this._now = end
  }

  /** Lets time pass without running a timer. */
  pause (ms: Ms): void { this._now += ms }
}

/** A pause may begin up to one interval of checks before the next check is due. */
function assertAbout (measured: Ms, length: Ms): void { assert.ok(measured >= length - 100 && measured <= length, `${measured} ms for a pause of ${length} ms`) }

Then('of several pauses the longest one after a time is reported, also one that has not ended', () => {
  const clock = new LateClock()
  const pauses = new EventLoopPauses(clock)
  for (const length of [600, 300]) {
    clock.run(1_000)
    clock.pause(length)
    clock.run(1)
  }
  assertAbout(pauses.longestSince(1_700), 300)
  assertAbout(pauses.longestSince(0), 600)
  clock.pause(900)
  assertAbout(pauses.longestSince(0), 900)
})

Then('a delay of a few milliseconds is not reported', () => {
  const clock = new LateClock()
  const pauses = new EventLoopPauses(clock)
  clock.pause(120)
  clock.run(1_000)
  assert.equal(pauses.longestSince(0), 0)
})
