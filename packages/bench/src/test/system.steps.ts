/**
 * Steps that start systems and send requests.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { book, complete } from '../lib/callers.js'
import { LocalSystem } from './support/local-system.js'
import { expectedText, type SystemWorld } from './support/world.js'

Given('a system with {int} engine(s) of {int} adapter slot(s) and {int} batch slot(s)', async function (this: SystemWorld, models: number, slots: number, places: number) {
  this.system = await LocalSystem.start({ models, slots, places, plains: 0 })
  this.results = []
})

Given('a system with {int} slow engine(s) of {int} adapter slot(s) and {int} batch slot(s)', async function (this: SystemWorld, models: number, slots: number, places: number) {
  this.system = await LocalSystem.start({ models, slots, places, plains: 0, stepMs: 20 })
  this.results = []
})

Given('a system with an engine that {word} fencing numbers', async function (this: SystemWorld, kind: string) {
  this.system = await LocalSystem.start({ models: 1, slots: 2, places: 4, plains: 0, fencing: kind === 'checks' ? 'checked' : 'ignored' })
  this.results = []
})

Given('a system with {int} booking service(s) and {int} entry/entries', async function (this: SystemWorld, plains: number, entries: number) {
  this.system = await LocalSystem.start({ models: 0, plains, entries })
  this.results = []
})

Given('a whole system with {int} engines, {int} booking services and {int} entries', async function (this: SystemWorld, models: number, plains: number, entries: number) {
  this.system = await LocalSystem.start({ models, plains, entries, slots: 3, places: 8, stepMs: 10 })
  this.results = []
})

When('{int} tokens of {string} are requested, streamed', async function (this: SystemWorld, tokens: number, model: string) {
  this.results.push(await complete(this.system.url, model, 'p', tokens, true))
})

When('{int} tokens of {string} are requested, whole', async function (this: SystemWorld, tokens: number, model: string) {
  this.results.push(await complete(this.system.url, model, 'p', tokens, false))
})

When('a caller begins to read {int} tokens of {string}', async function (this: SystemWorld, tokens: number, model: string) {
  this.pending = [...(this.pending ?? []), complete(this.system.url, model, 'p', tokens, true)]
})

When('a booking {string} is sent', async function (this: SystemWorld, token: string) {
  this.results.push(await book(this.system.url, token))
})

When('a booking {string} is sent with its idempotency key through entry {int}', async function (this: SystemWorld, token: string, entry: number) {
  this.results.push(await book(this.system.entries[entry]!.url, token, { 'idempotency-key': token }))
})

Then('the answer is all {int} tokens of {string}', function (this: SystemWorld, tokens: number, model: string) {
  const result = this.results.at(-1)!
  assert.equal(result.status, 200, `${result.status} ${result.code}`)
  assert.ok(result.whole)
  assert.equal(result.text, expectedText(model, tokens))
})

Then('the caller that began to read gets all {int} tokens of {string}', async function (this: SystemWorld, tokens: number, model: string) {
  const result = await this.pending.shift()!
  this.results.push(result)
  assert.equal(result.status, 200, `${result.status} ${result.code}`)
  assert.ok(result.whole, 'the answer is whole')
  assert.equal(result.text, expectedText(model, tokens))
})

Then('the caller gets {string} with status {int} and code {string}', function (this: SystemWorld, verdict: string, status: number, code: string) {
  const result = this.results.at(-1)!
  assert.deepEqual({ verdict: result.verdict, status: result.status, code: result.code }, { verdict, status, code })
})

Then('booking {string} ran {int} time(s)', function (this: SystemWorld, token: string, times: number) {
  const runs = this.system.plains.reduce((sum, plain) => sum + (plain.bookings.get(token) ?? 0), 0)
  assert.equal(runs, times)
})

Then('no adapter was evicted while in use', function (this: SystemWorld) {
  assert.deepEqual(this.system.engines.flatMap(engine => engine.evictedInUse), [])
})
