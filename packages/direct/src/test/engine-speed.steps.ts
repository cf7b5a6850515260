/**
 * Checks how speeds of engines pass between entries.
 */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { FakeClock, type Log } from '@hazelford/core'
import type { EngineControl, EngineReport } from '@hazelford/ports'
import fc from 'fast-check'
import { okAsync } from 'neverthrow'
import { EngineHolder } from '../lib/engines/engine-holder.js'
import { EntryMetrics } from '../lib/metrics.js'
import { EndedStreams, readStreamReport } from '../lib/engines/stream-report.js'
import { Upstream } from '../lib/placing/upstream.js'

const seed = 20261204
const entry = 'entry-2'

interface SpeedWorld { clock: FakeClock, holder: EngineHolder, logged: string[] }

function createUpstream (clock: FakeClock): Upstream {
  return new Upstream({ id: 'i-1', service: 'models', host: '127.0.0.1', port: 1, zone: 'z', slots: 32, state: 'ready', models: [], orders: 0 }, clock, 1)
}

Then('a report without fields counts no stream, and values that are no counts or paces are left out', () => {
  for (const damaged of [undefined, {}, null, 7, { streams: 'x', paused: NaN, paces: {} }]) assert.deepEqual(readStreamReport(damaged), { streams: 0, paused: 0, paces: [] })
  assert.deepEqual(readStreamReport({ streams: 3, paused: 9, paces: [2.4, 0, -1, null, 1e300, 'x', 1_000] }), { streams: 3, paused: 3, paces: [2.4, 1_000] })
  fc.assert(fc.property(fc.jsonValue(), value => {
    const { streams, paused, paces } = readStreamReport(value)
    assert.ok(paused >= 0 && paused <= streams && paces.every(pace => pace > 0 && Number.isFinite(pace)))
  }), { seed })
})

Then('a report holds {int} paces at most, and none twice', (most: number) => {
  const ended = new EndedStreams()
  for (let n = 0; n < 20; n++) ended.record(n % 2 === 0, n + 1)
  assert.deepEqual(ended.take(), { streams: 20, paused: 10, paces: Array.from({ length: most }, (_, n) => n + 1) })
  assert.deepEqual(ended.take(), { streams: 0, paused: 0 })
  assert.equal(readStreamReport({ streams: 20, paces: Array(100).fill(26) }).paces.length, most)
})

Then('an entry keeps the last speed when a load comes without one, and passes none on that it has not heard', () => {
  const clock = new FakeClock()
  const upstream = createUpstream(clock)
  upstream.recordLoad({ running: 1, promptBacklog: 0 }, 0)
  assert.deepEqual([upstream.speed, upstream.load?.speed, upstream.reportedSpeed], [1, undefined, undefined])
  clock.advance(10)
  upstream.recordLoad({ running: 1, promptBacklog: 0, speed: 0.41 }, 0)
  clock.advance(10)
  upstream.recordLoad({ running: 1, promptBacklog: 0 }, 0)
  assert.deepEqual([upstream.speed, upstream.load?.speed, upstream.reportedSpeed], [0.41, 0.41, 0.41])
})

Then('a speed beyond the limits is limited, and one that is no number is left out', () => {
  const upstream = createUpstream(new FakeClock())
  upstream.recordLoad({ running: 1, promptBacklog: 0, speed: 1e9 }, 20)
  assert.ok(upstream.speed < 4)
  upstream.recordLoad({ running: 1, promptBacklog: 0, speed: 0.41 }, 10)
  upstream.recordLoad({ running: 1, promptBacklog: 0, speed: 'x' as unknown as number }, 0)
  assert.equal(upstream.speed, 0.41)
})

Then('prompt tokens at an engine of speed {float} are read half as fast', (speed: number) => {
  const left = [1, speed].map(each => {
    const clock = new FakeClock()
    const upstream = createUpstream(clock)
    upstream.recordLoad({ running: 1, promptBacklog: 10_000, speed: each }, 0)
    clock.advance(100)
    return 10_000 - upstream.promptBacklog
  })
  assert.equal(left[1], left[0]! * speed)
})

Then('the metrics show the speed and age of each engine that the entry holds, and of no other', async () => {
  const metrics = new EntryMetrics()
  metrics.currentEngineSpeeds = () => [{ upstream: 'i-1', speed: 0.41, age: 20 }, { upstream: 'i-2', speed: 1, age: undefined }]
  const first = await metrics.text()
  for (const line of ['hazelford_engine_speed{upstream="i-1"} 0.41', 'hazelford_engine_speed{upstream="i-2"} 1', 'hazelford_engine_speed_age_ms{upstream="i-1"} 20']) assert.ok(first.includes(line), line)
  metrics.currentEngineSpeeds = () => []
  assert.ok(!(await metrics.text()).includes('upstream="i-'))
})

function createHolder (world: SpeedWorld, speed?: number): EngineHolder {
  const report: EngineReport = { models: [], coming: [], busy: false, orders: 0, running: 0, waiting: 0 }
  const control: EngineControl = { load: () => okAsync('accepted'), unload: () => okAsync('accepted'), report: () => okAsync(report) }
  const log = { info: (_: string, text: string) => { world.logged.push(text) }, warn: () => {} } as unknown as Log
  const spec = { slots: 32, weightsMb: 1, adapterSlots: 4, loadsPerSecond: 10, models: [] }
  return new EngineHolder({ upstream: 'i-1', node: 'entry-1', fence: 1, spec, control, startedAt: 1, clock: world.clock, log, mayOrder: () => true, backoffUntil: () => -Infinity, serviceTime: () => 0, loaded: () => {}, ...(speed === undefined ? {} : { speed }) })
}

After(function (this: SpeedWorld) { if (this.holder instanceof EngineHolder) this.holder.release() })

Given('a holder whose entry knows no speed of the engine', function (this: SpeedWorld) {
  Object.assign(this, { clock: new FakeClock(), logged: [] })
  this.holder = createHolder(this)
})

Then('it reports no speed, as the version before does', function (this: SpeedWorld) { assert.ok(!('speed' in this.holder.load)) })

When('streams of the engine end that take {float} times as long', function (this: SpeedWorld, slowness: number) {
  for (let n = 0; n < 8; n++) {
    this.clock.advance(500)
    this.holder.recordUse(entry, [], 1, { streams: 1, paused: 0, paces: [slowness] })
  }
})

When('another holder succeeds it, whose entry has heard of that speed', function (this: SpeedWorld) {
  const upstream = createUpstream(this.clock)
  upstream.recordLoad(this.holder.load, 0)
  this.holder.release()
  this.logged = []
  this.holder = createHolder(this, upstream.reportedSpeed)
})

When('the engine starts again', function (this: SpeedWorld) { this.holder.restart(2, { load: () => okAsync('accepted'), unload: () => okAsync('accepted'), report: () => okAsync({ startedAt: 2, models: [], coming: [], busy: false, orders: 0, running: 0, waiting: 0 }) }) })

Then(/^the holder reports the speed ([\d.]+)(?: and logs (the change once|no change))?$/, function (this: SpeedWorld, speed: string, logs: string | null) {
  assert.equal(this.holder.load.speed, Number(speed))
  if (logs !== null) assert.equal(this.logged.filter(text => text.startsWith('engine speed changed')).length, logs === 'no change' ? 0 : 1)
})
