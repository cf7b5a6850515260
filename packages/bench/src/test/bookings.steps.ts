/**
 * Failure tests of bookings.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { book, type CallerResult } from '../lib/callers.js'
import { waitUntil } from './support/local-system.js'
import type { SystemWorld } from './support/world.js'

Given('the booking services lose their next {int} replies', function (this: SystemWorld, count: number) {
  for (const plain of this.system.plains) plain.faults.lostReplies = count
})

Given('the booking services take {int} ms', function (this: SystemWorld, ms: number) {
  for (const plain of this.system.plains) plain.faults.delay = ms
})

Given('the key-value service is down', function (this: SystemWorld) { this.system.kv.faults.outage = true })

Given('calls of the key-value service hang', function (this: SystemWorld) { this.system.kv.faults.blackHole = true })

When('the key-value service is back', function (this: SystemWorld) { this.system.kv.faults.outage = false })

Given('the key-value service loses the next {int} replies to writes', function (this: SystemWorld, count: number) {
  this.system.kv.faults.lostWriteReplies = count
})

Given('the key-value service takes {int} ms', function (this: SystemWorld, ms: number) {
  this.system.kv.faults.delay = ms
})

function untilBookingRuns (world: SystemWorld): Promise<void> {
  return waitUntil('the booking runs', () => world.system.plains.some(plain => plain.running() > 0))
}

When('a booking {string} is sent {int} times at once with its idempotency key', async function (this: SystemWorld, token: string, times: number) {
  const sent = Array.from({ length: times }, (_, i) =>
    book(this.system.entries[i % this.system.entries.length]!.url, token, { 'idempotency-key': token }))
  this.results.push(...await Promise.all(sent))
})

When('a booking {string} is sent with a deadline of {int} ms', async function (this: SystemWorld, token: string, ms: number) {
  this.results.push(await book(this.system.url, token, { 'x-hazelford-deadline-ms': String(ms) }))
})

When('a booking {string} is sent with the idempotency key {string}', async function (this: SystemWorld, token: string, key: string) {
  this.results.push(await book(this.system.url, token, { 'idempotency-key': key }))
})

When('a booking {string} is repeated after its retry-after', async function (this: SystemWorld, token: string) {
  const retryAfterMs = 2_000
  await new Promise(resolve => { setTimeout(resolve, retryAfterMs) })
  this.results.push(await book(this.system.url, token, { 'idempotency-key': token }))
})

When('the sidecar that ran it fails', async function (this: SystemWorld) {
  const index = this.system.plains.findIndex(plain => plain.bookings.size > 0)
  const name = `b${index}`
  this.system.sidecars.get(name)!.stop()
  this.system.sidecars.delete(name)
  this.system.hostList.remove(`sidecar-${name}`)
  await waitUntil('entries have closed its channels', () => this.system.entries.every(({ entry }) => entry.directory.channel(name) === undefined))
})

When('a booking {string} is running and its sidecar fails', async function (this: SystemWorld, token: string) {
  const pending = book(this.system.url, token)
  await untilBookingRuns(this)
  this.system.sidecars.get('b0')!.stop()
  await this.system.startSidecar('b0')
  this.results.push(await pending)
  await waitUntil('the service is done', () => this.system.plains.every(plain => plain.running() === 0))
})

When('a booking {string} is running and its channel breaks', async function (this: SystemWorld, token: string) {
  const pending = book(this.system.url, token)
  await untilBookingRuns(this)
  for (const { entry } of this.system.entries) entry.directory.cutChannels()
  this.results.push(await pending)
})

When('a booking {string} is running and its entry fails', async function (this: SystemWorld, token: string) {
  const pending = book(this.system.entries[0]!.url, token, { 'idempotency-key': token })
  await untilBookingRuns(this)
  this.system.entries[0]!.entry.stop()
  await pending
})

When('all batch slots are taken by other bookings', async function (this: SystemWorld) {
  this.pending = Array.from({ length: 4 }, (_, i) => book(this.system.url, `other-${i}`))
  await waitUntil('all batch slots are taken', () => this.system.plains[0]!.running() === 4)
})

Then('the last answer says that it did not run', function (this: SystemWorld) {
  const result = this.results.at(-1)!
  assert.equal(result.verdict, 'not-run')
  assert.equal(result.status, 503)
})

Then('booking {string} has not run when all others have', async function (this: SystemWorld, token: string) {
  const others = await Promise.all(this.pending)
  for (const other of others) assert.equal(other.status, 201)
  assert.equal(this.system.plains[0]!.bookings.has(token), false)
})

Then('the last answer repeats the first one', function (this: SystemWorld) {
  const [first, repeat] = this.results as [CallerResult, CallerResult]
  assert.equal(first.status, 201)
  assert.deepEqual([repeat.status, repeat.text, repeat.replayed], [first.status, first.text, true])
})

Then('every answer confirms the booking or says that it may have run', function (this: SystemWorld) {
  for (const result of this.results) assert.ok(result.status === 201 || result.verdict === 'may-have-run', `${result.status} ${result.verdict}`)
})

Then('the booking is confirmed', function (this: SystemWorld) {
  const result = this.results.at(-1)!
  assert.equal(result.status, 201, `${result.status} ${result.code}`)
})

Then('booking {string} runs once after all', async function (this: SystemWorld, token: string) {
  await waitUntil('it ran', () => this.system.plains[0]!.bookings.get(token) === 1)
})

/** Time after which calls that were in flight when their sender stopped have arrived. */
const inFlightMs = 300

function pause (ms: number): Promise<void> { return new Promise(resolve => { setTimeout(resolve, ms) }) }

When('all entries and sidecars stop', function (this: SystemWorld) {
  for (const { entry } of this.system.entries) entry.stop()
  for (const sidecar of this.system.sidecars.values()) sidecar.stop()
})

Then('it gets no call for {int} ms', async function (this: SystemWorld, ms: number) {
  const { calls } = this.system.kv
  await pause(inFlightMs)
  const before = { ...calls }
  await pause(ms)
  assert.deepEqual(calls, before)
})
