/**
 * Step definitions for failure tests of claims on idempotency keys.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { EventRing, FakeClock, HybridClock, silentLog } from '@hazelford/core'
import type { KvClient } from '@hazelford/consul'
import { type ClaimOutcome, Claims, createStoredAnswer } from '../lib/claims.js'
import { FakeKv, type KvFault, flushMicrotasks } from './support/fake-kv.js'

const clock = new FakeClock()
const key = 'key-1'
const digest = 'digest-of-call'
const answer = createStoredAnswer(201, [{ name: 'x-booking', value: '7' }], [Buffer.from('booked')])
const noFault = (): KvFault => 'none'

function claimsOf (kv: KvClient, sidecar: string, incarnation = 'one'): Claims {
  const events = new EventRing(new HybridClock(clock))
  return new Claims({ kv, clock, log: silentLog, events, service: 'booking', sidecar, incarnation, stopped: () => false })
}

let kv: FakeKv
let outcome: ClaimOutcome

/** Advances the clock until the retried removals and writes of records have run. */
async function passTime (): Promise<void> {
  for (let i = 0; i < 12; i++) {
    clock.advance(600)
    await flushMicrotasks()
  }
}

Given('three sidecars that claim the same key while calls to the key-value service are lost, late or refused', () => { kv = new FakeKv() })

Then('at most one of them may run the call', async () => {
  const faults = fc.infiniteStream(fc.constantFrom<KvFault>('none', 'none', 'none', 'lost-reply', 'late', 'refused'))
  await fc.assert(fc.asyncProperty(fc.scheduler(), faults, fc.nat({ max: 5 }), async (scheduler, stream, lateAfter) => {
    const fresh = new FakeKv()
    let calls = 0
    const fault = (): KvFault => {
      if (++calls === lateAfter) fresh.applyLate()
      return stream.next().value
    }
    const turn = async (): Promise<void> => { await scheduler.schedule(Promise.resolve()) }
    const sidecars = ['s1', 's2', 's3'].map(name => claimsOf(fresh.client(fault, turn), name))
    const claimed = Promise.all(sidecars.map(claims => claims.claim(key, digest)))
    await scheduler.waitFor(claimed)
    fresh.applyLate()
    const again = Promise.all(sidecars.map(claims => claims.claim(key, digest).then(found => found.kind === 'running-here' ? undefined : found)))
    await scheduler.waitFor(again)
    const taken = [...await claimed, ...await again].filter(found => found?.kind === 'taken')
    assert.ok(taken.length <= 1, `${taken.length} sidecars may run the call`)
  }), { seed: 20261202, numRuns: 500 })
})

Given('a sidecar whose claim was stored but not confirmed', async () => {
  kv = new FakeKv()
  let first = true
  const fault = (call: string): KvFault => {
    if (call !== 'cas' || !first) return 'none'
    first = false
    return 'lost-reply'
  }
  outcome = await claimsOf(kv.client(fault), 's1').claim(key, digest)
})

Then('it finds its own claim and may run the call', () => assert.equal(outcome.kind, 'taken'))

let down: boolean
let claims: Claims

Given('a sidecar that can\'t reach the key-value service', async () => {
  kv = new FakeKv()
  down = true
  claims = claimsOf(kv.client(() => down ? 'refused' : 'none'), 's1')
  outcome = await claims.claim(key, digest)
})

Then('the call is refused as not run and the key is free once the key-value service is back', async () => {
  assert.equal(outcome.kind, 'unavailable')
  down = false
  assert.equal((await claims.claim(key, digest)).kind, 'taken')
})

Given('a claim whose write is still in flight when the call is refused', async () => {
  kv = new FakeKv()
  let calls = 0
  const fault = (): KvFault => ++calls <= 2 ? 'late' : 'none'
  outcome = await claimsOf(kv.client(fault), 's1').claim(key, digest)
  assert.equal(outcome.kind, 'unavailable')
})

When('the write takes effect later', async () => {
  clock.advance(600)
  await flushMicrotasks()
  kv.applyLate()
  assert.equal(kv.data.size, 1)
})

Then('the sidecar removes the claim and another sidecar can run the call', async () => {
  await passTime()
  assert.equal(kv.data.size, 0)
  assert.equal((await claimsOf(kv.client(noFault), 's2').claim(key, digest)).kind, 'taken')
})

Given('a call that ran and was answered through one sidecar', async () => {
  kv = new FakeKv()
  const first = claimsOf(kv.client(noFault), 's1')
  outcome = await first.claim(key, digest)
  assert.equal(outcome.kind, 'taken')
  await first.settle(outcome.claim, answer)
})

Then('a repeat through another sidecar gets the same answer', async () => {
  const repeat = await claimsOf(kv.client(noFault), 's2').claim(key, digest)
  assert.deepEqual(repeat, { kind: 'answered', answer })
})

Then('a different call with its key is refused', async () => {
  assert.equal((await claimsOf(kv.client(noFault), 's2').claim(key, 'another-digest')).kind, 'other-call')
})

Given('a call that one sidecar began before it restarted', async () => {
  kv = new FakeKv()
  outcome = await claimsOf(kv.client(noFault), 's1', 'before').claim(key, digest)
  assert.equal(outcome.kind, 'taken')
})

Then('a repeat at this sidecar does not run, since the outcome is unknown', async () => {
  assert.equal((await claimsOf(kv.client(noFault), 's1', 'after').claim(key, digest)).kind, 'outcome-unknown')
})

Given('a released claim whose removal is still in flight', async () => {
  kv = new FakeKv()
  let removals = 0
  const fault = (call: string): KvFault => call === 'remove' && ++removals === 1 ? 'late' : 'none'
  const first = claimsOf(kv.client(fault), 's1')
  outcome = await first.claim(key, digest)
  assert.equal(outcome.kind, 'taken')
  first.release(outcome.claim)
  await passTime()
  assert.equal(kv.data.size, 0, 'the second removal took effect')
})

When('another sidecar claims the key and then the removal takes effect', async () => {
  outcome = await claimsOf(kv.client(noFault), 's2').claim(key, digest)
  kv.applyLate()
})

Then('the other sidecar\'s claim is still stored', () => {
  assert.equal(outcome.kind, 'taken')
  assert.equal(kv.data.size, 1)
})
