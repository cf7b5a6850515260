/**
 * Plays streams on engines of different speeds, and checks what their holders estimate.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { Ms } from '@hazelford/core'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { EngineSpeed, readSpeed, RelativePaces, type SpeedEstimate } from '../lib/engine-speed.js'
import { type MeasuredPace, StreamPace } from '../lib/pace-window.js'
import { propertyOptions } from './support/property-options.js'

interface SimulatedEngine { readonly slowness: number, readonly promptShare: number }
interface Change extends SpeedEstimate { readonly engine: number, readonly at: Ms }
interface SpeedWorld { engines: readonly SimulatedEngine[], speeds: readonly EngineSpeed[], changes: readonly Change[] }
interface EndedStream { readonly engine: number, readonly entry: number, readonly at: Ms, readonly pace: MeasuredPace | undefined }

const eventMs = 25.6
const promptMs = 22
const events = 36
const entries = 10
/** Entries on busy hosts, which run at the end of each such time only. */
const busyEntries = 3
const busyHostMs = 40
const service = 'models'
const streamsPerSecond = 3
const moment = { every: 4_000, lasts: 600, factor: 2.5 }
const usualPromptShare = 0.2

function createRandom (): () => number {
  const rng = xoroshiro128plus(11)
  return () => uniformFloat64(rng)
}

/** Ms between two events: steps of the engine, and the prompts that it reads meanwhile. */
function gap ({ slowness, promptShare }: SimulatedEngine, at: Ms, random: () => number): Ms {
  let duration = eventMs
  const promptsPerMs = promptShare / (1 - promptShare) / promptMs
  for (let next = -Math.log(1 - random()) / promptsPerMs; next < eventMs; next += -Math.log(1 - random()) / promptsPerMs) duration += promptMs
  return duration * slowness * (at % moment.every < moment.lasts ? moment.factor : 1)
}

/** Time at which an entry reads an event: at once, or when its busy host lets it run. */
function readAt (entry: number, at: Ms): Ms { return entry < busyEntries ? Math.ceil(at / busyHostMs) * busyHostMs : at }

/** Streams that an engine ends, with their paces. */
function runStreams (engine: SimulatedEngine, n: number, length: Ms, random: () => number): readonly EndedStream[] {
  const ended: EndedStream[] = []
  const offset = random() * moment.every
  for (let from = 0; from < length; from += -Math.log(1 - random()) * 1_000 * Math.sqrt(engine.slowness) / streamsPerSecond) {
    const meter = new StreamPace()
    const entry = Math.floor(random() * entries)
    let at = from
    let lastRead = readAt(entry, from)
    for (let event = 1; event < events; event++) {
      const took = gap(engine, at + offset, random)
      const read = readAt(entry, at + took)
      meter.record(read - lastRead)
      lastRead = read
      at += took
    }
    ended.push({ engine: n, entry, at, pace: meter.pace })
  }
  return ended.filter(({ at }) => at < length)
}

Given(/^engines that take ([\d., and]+) times? as long, (?:four of each|twelve of them|one of them)(?:, and the first reads prompts for (\d+) in 100 of the time)?$/, function (this: SpeedWorld, factors: string, busy: string | null) {
  const slowness = factors.match(/[\d.]+/g)!.map(Number)
  const total = slowness.length === 1 && slowness[0] !== 1 ? 1 : 12
  this.engines = Array.from({ length: total }, (_, n) => ({ slowness: slowness[Math.floor(n * slowness.length / total)]!, promptShare: n === 0 && busy !== null ? Number(busy) / 100 : usualPromptShare }))
})

When('they run streams for {int} s', function (this: SpeedWorld, seconds: number) {
  const random = createRandom()
  const ended = this.engines.flatMap((engine, n) => runStreams(engine, n, seconds * 1_000, random)).sort((a, b) => a.at - b.at)
  const relativePaces = Array.from({ length: entries }, () => new RelativePaces())
  const changes: Change[] = []
  this.speeds = this.engines.map(() => new EngineSpeed())
  for (const { engine, entry, at, pace } of ended) {
    const relative = pace === undefined ? undefined : relativePaces[entry]!.record(service, pace, at)
    const change = relative === undefined ? undefined : this.speeds[engine]!.record([relative], at)
    if (change !== undefined) changes.push({ ...change, engine, at })
  }
  this.changes = changes
})

Then('the speeds of the first eight are exactly 1, and those of the others between {float} and {float}', function (this: SpeedWorld, least: number, most: number) {
  this.speeds.forEach(({ known }, n) => assert.ok(known !== undefined && (n < 8 ? known === 1 : known >= least && known <= most), `engine ${n}: ${known}`))
})

Then('each is known within {int} s, and changes once at most', function (this: SpeedWorld, seconds: number) {
  for (const { at, engine } of this.changes) assert.ok(at <= seconds * 1_000, `engine ${engine} at ${at}`)
  assert.equal(new Set(this.changes.map(({ engine }) => engine)).size, this.changes.length)
})

Then('all speeds are exactly 1 and none has changed', function (this: SpeedWorld) {
  assert.deepEqual(this.changes, [])
  for (const { known } of this.speeds) assert.equal(known, 1)
})

Then('a stream that was paused or stalled has no pace, nor has one of less than {int} events, and one whose events come together was read late', (least: number) => {
  const [whole, disturbed, short, together] = [new StreamPace(), new StreamPace(), new StreamPace(), new StreamPace()]
  for (let event = 1; event < events; event++) for (const each of [whole, disturbed]) each.record(eventMs)
  disturbed.disturb()
  for (let event = 1; event < events; event++) together.record(event === 1 ? eventMs : 0.2)
  for (let event = 1; event < least - 1; event++) short.record(eventMs)
  assert.deepEqual([whole, disturbed, short, together].map(({ pace }) => pace), [eventMs, undefined, undefined, 'read-late'])
  short.record(eventMs)
  assert.equal(short.pace, eventMs)
})

Then('its speed is not known, and counts as 1', () => {
  const speed = new EngineSpeed()
  speed.record([], 0)
  assert.deepEqual([speed.known, speed.speed, speed.age(9)], [undefined, 1, undefined])
})

/** A speed after a number of equal samples, one each 100 ms. */
function measured (speed: EngineSpeed, pace: number, samples: number, from: Ms = 0): EngineSpeed {
  for (let n = 0; n < samples; n++) speed.record([pace], from + n * 100)
  return speed
}

Then('it keeps its speed, and its age shows when it was measured', () => {
  const speed = measured(new EngineSpeed(), 2.4, 10)
  const known = speed.known
  assert.ok(known! < 0.5)
  // Too few samples for an estimate, and none of the earlier ones counts any more.
  measured(speed, 1, 3, 100_000)
  assert.equal(speed.known, known)
  assert.equal(speed.age(100_900), 100_000)
})

Then('a quarter of the samples that are wrong by ten either way changes no speed', () => {
  fc.assert(fc.property(fc.array(fc.boolean(), { minLength: 6, maxLength: 60 }), fc.constantFrom(0.1, 10), fc.constantFrom(1, 2.4), (wrong, factor, slowness) => {
    const speed = measured(new EngineSpeed(), slowness, 24)
    const before = speed.known
    wrong.forEach((isWrong, n) => speed.record([slowness * (isWrong && n % 4 === 0 ? factor : 1)], 2_400 + n * 100))
    assert.equal(speed.known, before)
  }), propertyOptions)
})

Then('if all of them are, speeds stay between {float} and {float}', (least: number, most: number) => {
  for (const pace of [1e-9, 0.1, 10, 60_000]) assert.ok(measured(new EngineSpeed(), pace, 30).speed >= least && measured(new EngineSpeed(), pace, 30).speed <= most)
  for (const sent of [1e-300, 1e300, 0.01, 10]) assert.ok(readSpeed(sent)! >= least && readSpeed(sent)! <= most)
  for (const sent of [undefined, null, 'fast', 0, -1, NaN]) assert.equal(readSpeed(sent), undefined)
})

Then('it stays until there are enough samples, and then follows them', () => {
  assert.equal(new EngineSpeed(0.41).known, 0.41)
  assert.equal(measured(new EngineSpeed(0.41), 1, 3).known, 0.41)
  assert.equal(measured(new EngineSpeed(0.41), 1, 4).known, 1)
  assert.equal(measured(new EngineSpeed(0.41), 2.4, 60).known, 0.41)
})

Then('a speed changes at most once while the pace varies by a tenth', () => {
  fc.assert(fc.property(fc.double({ min: 0.3, max: 3, noNaN: true }), fc.array(fc.double({ min: 0.95, max: 1.05, noNaN: true }), { minLength: 100, maxLength: 200 }), (slowness, factors) => {
    const speed = new EngineSpeed()
    const changes = factors.filter((factor, n) => speed.record([slowness * factor], n * 100) !== undefined)
    assert.ok(changes.length <= 1, `${changes.length} changes at ${slowness}`)
  }), propertyOptions)
})
