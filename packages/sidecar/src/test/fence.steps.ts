/**
 * Step definitions for failure tests of fencing numbers.
 */
import assert from 'node:assert/strict'
import { Given, Then } from '@cucumber/cucumber'
import fc from 'fast-check'
import { type Clock, EventRing, FakeClock, HybridClock, silentLog } from '@hazelford/core'
import type { KvClient } from '@hazelford/consul'
import { Fence } from '../lib/fence.js'
import { FakeKv, type KvFault, flushMicrotasks } from './support/fake-kv.js'

const leaseMs = 1_000

function fenceOf (kv: KvClient, clock: Clock, sidecar: string): Fence {
  const events = new EventRing(new HybridClock(clock))
  return new Fence({ kv, clock, log: silentLog, events, upstream: 'm1', sidecar, leaseMs })
}

const running = (): boolean => false
const noFault = (): KvFault => 'none'
let clock: FakeClock
let fence: Fence

Given('a sidecar that holds a fencing number and a successor that acquires the next one', async () => {
  const kv = new FakeKv()
  clock = new FakeClock()
  fence = fenceOf(kv.client(noFault), clock, 'first')
  await fence.acquire(running)
  await fenceOf(kv.client(noFault), clock, 'second').acquire(running)
})

Then('the first finds that it is superseded once its check has expired', async () => {
  assert.equal(await fence.check(), 'held')
  clock.advance(leaseMs)
  assert.equal(await fence.check(), 'superseded')
  assert.equal(fence.superseded, true)
})

let faults: fc.Arbitrary<KvFault[]>

Given('several sidecars that acquire fencing numbers while replies to writes are lost', () => {
  faults = fc.array(fc.constantFrom<KvFault>('none', 'lost-reply', 'late', 'refused'), { maxLength: 20 })
})

Then('no two of them hold the same number', async () => {
  await fc.assert(fc.asyncProperty(faults, async list => {
    const kv = new FakeKv()
    const time = new FakeClock()
    const plan = [...list]
    const fault = (): KvFault => plan.shift() ?? 'none'
    const fences = ['a', 'b', 'c', 'd'].map(name => fenceOf(kv.client(fault), time, name))
    const all = Promise.all(fences.map(one => one.acquire(running)))
    let done = false
    all.then(() => { done = true }, () => {})
    for (let i = 0; i < 200; i++) {
      if (done) break
      await flushMicrotasks(20)
      kv.applyLate()
      time.advance(500)
    }
    assert.ok(done, 'every sidecar gets a number in the end')
    const numbers = fences.map(one => one.number)
    assert.equal(new Set(numbers).size, numbers.length, `numbers ${numbers.join(' ')}`)
  }), { seed: 20261202, numRuns: 200 })
})

let down: boolean

Given('a sidecar that holds a fencing number when the key-value service goes down', async () => {
  const kv = new FakeKv()
  clock = new FakeClock()
  down = false
  fence = fenceOf(kv.client(() => down ? 'refused' : 'none'), clock, 'first')
  await fence.acquire(running)
  down = true
  clock.advance(10 * leaseMs)
})

Then('the sidecar continues with unverified orders, keeps its number and is not superseded', async () => {
  assert.equal(await fence.check(), 'unverified')
  assert.equal(fence.superseded, false)
  assert.equal(fence.number, 1)
})
