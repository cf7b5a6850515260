/**
 * Tests of invalid input at the caller interface and the operator interface.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { EventRing, HybridClock, systemClock } from '@hazelford/core'
import { serveOperators } from '@hazelford/daemon'
import { request } from 'undici'
import { book, complete } from '../lib/callers.js'
import { LocalSystem, waitUntil } from './support/local-system.js'
import type { SystemWorld } from './support/world.js'

interface BadWorld extends SystemWorld { status: number, body: { error?: { code: string, message: string, verdict: string } }, receivedHeaders: Record<string, string> }

interface BadRequest { readonly path: string, readonly body: string | Iterable<Buffer>, readonly headers?: Record<string, string> }

const completions = '/v1/completions'
const reservations = '/services/booking/reservations'
const maxBodyBytes = 2_000
const good = JSON.stringify({ model: 'a@1', prompt: 'p', max_tokens: 1 })

function * chunks (): Generator<Buffer> {
  for (let i = 0; i < 5; i++) yield Buffer.alloc(1_000, 'x')
}

const requests: Readonly<Record<string, BadRequest>> = {
  'a body that is not JSON': { path: completions, body: '{"model":' },
  'a body without a model': { path: completions, body: '{}' },
  'a stream flag that is a string': { path: completions, body: '{"model":"a","stream":"yes"}' },
  'an unknown adapter': { path: completions, body: '{"model":"nobody"}' },
  'an unknown version': { path: completions, body: '{"model":"a@99"}' },
  'an unknown service': { path: '/services/nothing/x', body: '{}' },
  'a model service as a plain one': { path: '/services/chat/x', body: '{}' },
  'a deadline that is no number': { path: completions, body: good, headers: { 'x-hazelford-deadline-ms': 'soon' } },
  'an unknown class': { path: completions, body: good, headers: { 'x-hazelford-class': 'urgent' } },
  'a body over the limit': { path: completions, body: 'x'.repeat(3_000) },
  'a body over the limit, in chunks': { path: completions, body: chunks() },
  'a key of 300 characters': { path: reservations, body: '{"token":"t"}', headers: { 'idempotency-key': 'k'.repeat(300) } }
}

Given('a system for invalid input', async function (this: SystemWorld) {
  this.system = await LocalSystem.start({ models: 1, plains: 1, maxBodyBytes })
})

for (const [name, bad] of Object.entries(requests)) {
  When(`a caller sends ${name}`, async function (this: BadWorld) {
    const res = await request(`${this.system.url}${bad.path}`, { method: 'POST', headers: { 'content-type': 'application/json', ...bad.headers }, body: bad.body as string })
    this.status = res.statusCode
    this.body = await res.body.json() as BadWorld['body']
  })
}

Then('the error has status {int}, code {string} and a message with {string}', function (this: BadWorld, status: number, code: string, message: string) {
  assert.equal(this.status, status)
  assert.equal(this.body.error?.code, code)
  assert.equal(this.body.error?.verdict, 'not-run')
  assert.ok(this.body.error.message.includes(message.replaceAll('\\"', '"')), this.body.error.message)
})

Then('the system still serves requests', async function (this: BadWorld) {
  assert.equal((await complete(this.system.url, 'a@1', 'p', 2, true)).status, 200)
  assert.equal((await book(this.system.url, 'after')).status, 201)
  assert.deepEqual([...this.system.plains[0]!.bookings.keys()], ['after'])
})

When('a caller sends headers of 40 kB', async function (this: BadWorld) {
  const res = await request(`${this.system.url}/healthz`, { headers: { 'x-long': 'h'.repeat(40_000) } })
  this.status = res.statusCode
  await res.body.dump()
})

Then('the answer is 431', function (this: BadWorld) { assert.equal(this.status, 431) })

When('a caller calls a plain service with internal and hop-by-hop headers', async function (this: BadWorld) {
  const res = await request(`${this.system.url}/services/booking/echo`, {
    headers: { 'x-fencing-number': '999', 'x-hazelford-secret': '1', 'x-hazelford-class': 'draft', 'te': 'trailers', 'x-custom': 'mine', 'accept': 'text/plain' }
  })
  await res.body.dump()
  assert.equal(res.headers['x-own'], 'yes')
  assert.notEqual(res.headers['keep-alive'], 'timeout=99')
  this.receivedHeaders = this.system.plains[0]!.echoed()
})

Then('the service receives only the end-to-end headers', function (this: BadWorld) {
  assert.equal(this.receivedHeaders['x-custom'], 'mine')
  assert.equal(this.receivedHeaders.accept, 'text/plain')
  for (const name of ['x-fencing-number', 'x-hazelford-secret', 'x-hazelford-class', 'te']) assert.equal(this.receivedHeaders[name], undefined, name)
})

Given('a system whose service "front" depends on "booking"', async function (this: SystemWorld) {
  this.system = await LocalSystem.start({ models: 0, plains: 1, services: '[services.front]\nkind = "plain"\ndepends_on = ["booking"]' })
})

When('the booking upstream is drained', async function (this: SystemWorld) {
  this.system.drained = ['b0']
  await this.system.inForce(await this.system.applyConfig())
  await waitUntil('the entry sees the drain', () => !this.system.entries[0]!.entry.directory.view('b0')!.accepts(performance.now()))
})

Then('a call of "front" is refused at once as "dependency-down"', async function (this: BadWorld) {
  const from = performance.now()
  const res = await request(`${this.system.url}/services/front/x`)
  const body = await res.body.json() as BadWorld['body']
  assert.equal(res.statusCode, 503)
  assert.equal(body.error?.code, 'dependency-down')
  assert.ok(Number(res.headers['retry-after']) >= 1)
  assert.ok(performance.now() - from < 500)
})

let operators: Awaited<ReturnType<typeof serveOperators>>
const token = 'a-token-for-this-test-only'

Given('an operator interface', async () => {
  operators = await serveOperators({ status: () => ({}), events: new EventRing(new HybridClock(systemClock)) }, token, '127.0.0.1', 0)
})

Then('it answers 401 without a token and with a wrong one, and 200 with the right one', async () => {
  const statusFor = async (headers: Record<string, string>): Promise<number> => {
    const res = await request(`http://127.0.0.1:${operators.port}/status`, { headers })
    await res.body.dump()
    return res.statusCode
  }
  assert.equal(await statusFor({}), 401)
  assert.equal(await statusFor({ authorization: 'Bearer wrong' }), 401)
  assert.equal(await statusFor({ authorization: `Bearer ${token}` }), 200)
  operators.close()
})
