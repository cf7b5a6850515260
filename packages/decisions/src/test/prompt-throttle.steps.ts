/**
 * Simulates the load of one engine with and without the throttle, and counts the streams that are in time.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { PromptThrottle } from '../lib/prompt-throttle.js'
import { propertyOptions } from './support/property-options.js'

interface Arrival { readonly id: string, readonly at: number, readonly tokens: number, readonly output: number, readonly urgency: number }

interface Outcome { readonly urgency: number, readonly onTime: boolean, readonly paused: boolean }

const tokensPerMs = 38
const stepMs = 5
const tokensPerEvent = 5
const firstDue = 800
const longestPause = 300
/** Prompt tokens that an engine reads in one step, between two tokens of its streams. */
const chunkTokens = 4_096

function arrivals (perSecond: number, seconds: number): readonly Arrival[] {
  const rng = xoroshiro128plus(7)
  const random = (): number => uniformFloat64(rng)
  const list: Arrival[] = []
  for (let at = 0; at < seconds * 1_000;) {
    at += -Math.log(1 - random()) * 3_000 / perSecond
    for (let n = 0; n < 3; n++) {
      const long = random() < 0.11
      const size = Math.exp((random() + random() + random() - 1.5) * 1.6)
      list.push({ id: `r${list.length}`, at: at + random() * 60, tokens: Math.min(7_000, Math.round((long ? 1_900 : 600) * size)), output: Math.round(230 * size), urgency: random() < 0.15 ? 0 : 1 })
    }
  }
  return list.sort((a, b) => a.at - b.at)
}

/** A simulated engine that reads prompts between the tokens of its streams. */
class SimulatedBatch {
  private _unread: { arrival: Arrival, left: number }[] = []
  private readonly _running = new Map<Arrival, { tokens: number, eventAt: number, longest: number, firstAt: number }>()
  readonly outcomes: Outcome[] = []

  /** @param _slowness - factor by which it takes longer for everything */
  constructor (private readonly _slowness: number) {}

  addPrompt (arrival: Arrival): void { this._unread.push({ arrival, left: arrival.tokens }) }

  /**
   * Simulates one step.
   *
   * @returns its time in ms
   */
  step (now: number): number {
    let chunk = chunkTokens
    while (chunk > 0 && this._unread.length > 0) {
      const first = this._unread[0]!
      const read = Math.min(chunk, first.left)
      first.left -= read
      chunk -= read
      if (first.left > 0) break
      this._unread.shift()
      this._running.set(first.arrival, { tokens: 0, eventAt: now, longest: 0, firstAt: Infinity })
    }
    const took = (stepMs + 0.014 * this._running.size + (chunkTokens - chunk) / tokensPerMs) * this._slowness
    for (const [arrival, run] of this._running) this._token(arrival, run, now + took)
    return took
  }

  private _token (arrival: Arrival, run: { tokens: number, eventAt: number, longest: number, firstAt: number }, now: number): void {
    run.tokens++
    if (run.tokens === 1) run.firstAt = now
    if (run.tokens % tokensPerEvent === 0) {
      if (run.tokens > tokensPerEvent) run.longest = Math.max(run.longest, now - run.eventAt)
      run.eventAt = now
    }
    if (run.tokens < arrival.output) return
    this._running.delete(arrival)
    const paused = run.longest > longestPause
    this.outcomes.push({ urgency: arrival.urgency, onTime: run.firstAt - arrival.at <= firstDue && !paused, paused })
  }
}

function simulate (load: readonly Arrival[], throttled: boolean, { slowness = 1, measuredSpeed = 1 } = {}): readonly Outcome[] {
  const throttle = new PromptThrottle()
  throttle.setMeasuredSpeed(measuredSpeed)
  const engine = new SimulatedBatch(slowness)
  const byId = new Map(load.map(arrival => [arrival.id, arrival]))
  const waiting = new Set<Arrival>()
  const end = load.at(-1)!.at + 20_000
  let next = 0
  for (let now = 0; now < end;) {
    for (; next < load.length && load[next]!.at <= now; next++) waiting.add(load[next]!)
    for (const arrival of waiting) {
      if (!throttled) engine.addPrompt(arrival)
      else throttle.enqueue({ id: arrival.id, tokens: arrival.tokens, urgency: arrival.urgency, dueAt: arrival.at + firstDue }, now)
    }
    if (!throttled) waiting.clear()
    for (const id of throttled ? throttle.admit(now) : []) {
      engine.addPrompt(byId.get(id)!)
      waiting.delete(byId.get(id)!)
    }
    const reported = engine.outcomes.length
    now += engine.step(now)
    const ended = engine.outcomes.slice(reported)
    throttle.adjustSpeed(ended.length, ended.filter(({ paused: hasPaused }) => hasPaused).length)
  }
  return engine.outcomes
}

function share (outcomes: readonly Outcome[], total: number, urgency?: number): number {
  return outcomes.filter(outcome => outcome.onTime && (urgency === undefined || outcome.urgency === urgency)).length / total
}

Then('with the throttle at least {int} in 100 streams of the busy day are in time, and {int} in 100 more than without', (least: number, more: number) => {
  const load = arrivals(20, 60)
  const [throttled, plain] = [share(simulate(load, true), load.length), share(simulate(load, false), load.length)]
  assert.ok(throttled * 100 >= least, `with ${throttled.toFixed(2)}, without ${plain.toFixed(2)}`)
  assert.ok((throttled - plain) * 100 >= more, `with ${throttled.toFixed(2)}, without ${plain.toFixed(2)}`)
})

Then('in overload more streams are in time with the throttle than without, and no urgent class behind a less urgent one', () => {
  const load = arrivals(36, 20)
  const throttled = simulate(load, true)
  const of = (urgency: number): number => load.filter(arrival => arrival.urgency === urgency).length
  assert.ok(share(throttled, load.length) > share(simulate(load, false), load.length))
  const [urgent, other] = [share(throttled, of(0), 0), share(throttled, of(1), 1)]
  assert.ok(urgent >= other, `urgent ${urgent.toFixed(2)}, others ${other.toFixed(2)}, without ${share(simulate(load, false), load.length).toFixed(2)}`)
})

Then('streams that pause too long slow it down, and streams that don\'t speed it up, within bounds', () => {
  const throttle = new PromptThrottle()
  const first = throttle.rate
  throttle.adjustSpeed(10, 5)
  assert.ok(throttle.rate < first)
  throttle.adjustSpeed(100_000, 100_000)
  const least = throttle.rate
  assert.ok(least > 0 && least >= first * 0.39)
  throttle.adjustSpeed(1_000_000, 0)
  assert.ok(throttle.rate <= first * 2.01)
})

Then('it leaves the queue without being admitted', () => {
  const throttle = new PromptThrottle()
  throttle.enqueue({ id: 'big', tokens: 100_000, urgency: 1, dueAt: 800 }, 0)
  assert.deepEqual(throttle.admit(0), ['big'])
  throttle.enqueue({ id: 'left', tokens: 10, urgency: 1, dueAt: 800 }, 0)
  assert.deepEqual(throttle.admit(10), [])
  assert.deepEqual(throttle.admit(60_000), [])
  assert.equal(throttle.waiting, 0)
})

Then('at {int} requests a second at least {int} in 100 streams are in time', (perSecond: number, least: number) => {
  const load = arrivals(perSecond, 60)
  const onTime = share(simulate(load, true), load.length)
  assert.ok(onTime * 100 >= least, `${onTime.toFixed(3)} are in time`)
})

Then('at {int} requests a second, {int} in 100 streams more are in time where the throttle knows the speed, and fewer pause for too long', (perSecond: number, more: number) => {
  const load = arrivals(perSecond, 60)
  const known = simulate(load, true, { slowness: 2.4, measuredSpeed: 0.41 })
  const unknown = simulate(load, true, { slowness: 2.4 })
  const paused = (outcomes: readonly Outcome[]): number => outcomes.filter(outcome => outcome.paused).length / load.length
  const figures = `in time ${share(known, load.length).toFixed(3)} with, ${share(unknown, load.length).toFixed(3)} without; paused ${paused(known).toFixed(3)} and ${paused(unknown).toFixed(3)}`
  assert.ok((share(known, load.length) - share(unknown, load.length)) * 100 >= more, figures)
  assert.ok(paused(known) < paused(unknown), figures)
})

const throttleMessage = fc.oneof(
  fc.record({ kind: fc.constant('enqueue' as const), id: fc.integer({ min: 0, max: 30 }), tokens: fc.integer({ min: 1, max: 7_000 }), urgency: fc.integer({ min: 0, max: 2 }), dueIn: fc.integer({ min: 0, max: 1_000 }) }),
  fc.record({ kind: fc.constant('withdraw' as const), id: fc.integer({ min: 0, max: 30 }) }),
  fc.record({ kind: fc.constant('streams' as const), streams: fc.integer({ min: 0, max: 100 }), paused: fc.integer({ min: 0, max: 10 }) }),
  fc.record({ kind: fc.constant('admit' as const), slots: fc.integer({ min: 0, max: 4 }) })
)

Then('a throttle that knows the speed 1 admits the same prompts at the same times as one without a measurement', () => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.integer({ min: 0, max: 60 }), throttleMessage), { minLength: 20, maxLength: 200 }), messages => {
    const plain = new PromptThrottle()
    const measured = new PromptThrottle()
    let now = 0
    for (const [passed, msg] of messages) {
      now += passed
      measured.setMeasuredSpeed(1)
      const results = [plain, measured].map(throttle => {
        if (msg.kind === 'enqueue') throttle.enqueue({ id: `r${msg.id}`, tokens: msg.tokens, urgency: msg.urgency, dueAt: now + msg.dueIn }, now)
        if (msg.kind === 'withdraw') throttle.withdraw(`r${msg.id}`)
        if (msg.kind === 'streams') throttle.adjustSpeed(msg.streams, Math.min(msg.streams, msg.paused))
        return [msg.kind === 'admit' ? throttle.admit(now, msg.slots) : [], throttle.backlog(now), throttle.nextAdmissionAt(now), throttle.rate]
      })
      assert.deepEqual(results[1], results[0])
    }
  }), propertyOptions)
})

Then('a measurement replaces what was learned in its direction, and leaves the rest', () => {
  const rateAfter = (streams: number, paused: number, speed: number): number => {
    const throttle = new PromptThrottle()
    throttle.adjustSpeed(streams, paused)
    throttle.setMeasuredSpeed(speed)
    return throttle.rate / new PromptThrottle().rate
  }
  assert.ok(Math.abs(rateAfter(40, 40, 0.41) - 0.41) < 1e-9)
  assert.ok(Math.abs(rateAfter(1_000, 1_000, 0.8) - 0.5) < 1e-9)
  assert.ok(Math.abs(rateAfter(1_000, 1_000, 1.25) - 0.625) < 1e-9)
})
