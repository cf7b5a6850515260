/**
 * Steps that switch the engines' faults and read their records.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createEngineClient } from '@hazelford/engine'
import { request } from 'undici'
import { complete } from '../lib/callers.js'
import { waitUntil } from './support/local-system.js'
import type { SystemWorld } from './support/world.js'

Given('the engine\'s next {int} answers claim another adapter', function (this: SystemWorld, count: number) {
  for (const engine of this.system.engines) engine.faults.wrongAdapter = count
})

Given('the engine\'s next {int} loads fail', function (this: SystemWorld, count: number) {
  this.system.engines[0]!.faults.failLoads = count
})

Given('the engine sends every event twice', function (this: SystemWorld) {
  this.system.engines[0]!.faults.doubled = true
})

Given('the engine swaps pairs of events', function (this: SystemWorld) {
  this.system.engines[0]!.faults.swapped = true
})

Given('the engine cuts each connection after {int} events', function (this: SystemWorld, count: number) {
  this.system.engines[0]!.faults.cutAfter = count
})

Given('the engine\'s next {int} streams end before their last event', function (this: SystemWorld, count: number) {
  this.system.engines[0]!.faults.truncate = count
})

Given('the engine loses the reply to its next unload', function (this: SystemWorld) {
  this.system.engines[0]!.faults.lostUnloadReplies = 1
})

Given('the engine takes {int} ms to notice a cancel', function (this: SystemWorld, ms: number) {
  this.system.engines[0]!.faults.cancelDelay = ms
})

When('a caller requests {int} tokens of {string} whole and disconnects while {int} tokens of {string} are requested', async function (this: SystemWorld, tokens: number, model: string, otherTokens: number, other: string) {
  const disconnect = new AbortController()
  const body = JSON.stringify({ model, prompt: 'p', max_tokens: tokens })
  const disconnected = request(`${this.system.url}/v1/completions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body, signal: disconnect.signal }).catch(() => {})
  await waitUntil('it runs', () => this.system.engines[0]!.running() === 1)
  const next = complete(this.system.url, other, 'p', otherTokens, true)
  disconnect.abort()
  await disconnected
  this.results.push(await next)
})

When('the engine restarts', function (this: SystemWorld) { this.system.engines[0]!.restart() })

When('the engine runs {int} request(s)', async function (this: SystemWorld, count: number) {
  await waitUntil(`${count} requests run`, () => this.system.engines[0]!.running() === count)
})

When('the operators put version {string} of "a" in force', async function (this: SystemWorld, version: string) {
  this.system.version = version
  await this.system.inForce(await this.system.applyConfig())
})

Then('the engine loaded {int} times', function (this: SystemWorld, loads: number) {
  assert.equal(this.system.engines[0]!.loads, loads)
})

When('a successor takes over the engine', async function (this: SystemWorld) {
  this.system.sidecars.get('m0')!.stop()
  const successor = await this.system.startSidecar('m0')
  await waitUntil('the successor has its fencing number', () => successor.status().fencingNumber === 2)
  await this.system.ready()
})

let staleOutcome: string

When('the replaced sidecar unloads {string}', async function (this: SystemWorld, model: string) {
  const client = createEngineClient(this.system.engines[0]!.url)
  staleOutcome = await client.unload(`${model}#1.1`, 1)
  await client.close()
})

Then('its unload order names an adapter that is not loaded', () => assert.equal(staleOutcome, 'absent'))
Then('its unload order is refused', () => assert.equal(staleOutcome, 'fenced'))
