/**
 * Requests, with sidecars, whose process ends or whose connection breaks while another process still has them.
 */
import assert from 'node:assert/strict'
import { request } from 'node:http'
import { Then, When } from '@cucumber/cucumber'
import { book, complete } from '../lib/callers.js'
import { waitUntil } from './support/local-system.js'
import { expectedText, type SystemWorld } from './support/world.js'

interface LateWorld extends SystemWorld { late: { status: number, verdict: string, connection: string, took: number } }

const tokens = 40
const cutEveryMs = 1
/** Time for which the channels are cut after the booking has run. */
const cutAfterRunMs = 150

function pause (ms: number): Promise<void> { return new Promise(resolve => { setTimeout(resolve, ms) }) }

When('{int} whole completions are requested and the channels are cut while the engine runs', async function (this: SystemWorld, count: number) {
  const sent = Array.from({ length: count }, (_, n) => complete(this.system.url, 'a@1', `p${n}`, tokens, false))
  await waitUntil('the engine runs', () => this.system.engines[0]!.running() > 0)
  for (const { entry } of this.system.entries) entry.directory.cutChannels()
  this.results = await Promise.all(sent)
})

Then('each of them is answered whole and has run once', function (this: SystemWorld) {
  for (const { status, whole, text, code } of this.results) assert.ok(status === 200 && whole && text === expectedText('a@1', tokens), `${status} ${code}`)
  assert.equal(this.system.engines[0]!.runs.length, this.results.length)
})

When('a booking {string} is running, its sidecar shuts down, and the channels are cut until it has ended', async function (this: SystemWorld, token: string) {
  const [plain] = this.system.plains
  const sidecar = this.system.sidecars.get('b0')!
  const booking = book(this.system.url, token)
  await waitUntil('the booking runs', () => plain!.running() > 0)
  const shutdown = sidecar.shutdown()
  const cuts = setInterval(() => sidecar.cutChannels(), cutEveryMs)
  await waitUntil('it has run', () => plain!.running() === 0)
  await pause(cutAfterRunMs)
  clearInterval(cuts)
  this.results.push(await booking)
  await shutdown
})

When('the entry shuts down while a booking {string} is being read', async function (this: LateWorld, token: string) {
  const { entry, server } = this.system.entries[0]!
  const body = JSON.stringify({ token })
  const req = request({ port: server.port, method: 'POST', path: '/services/booking/reservations', agent: false, headers: { 'content-type': 'application/json', 'content-length': body.length } })
  const answered = new Promise<LateWorld['late']>((resolve, reject) => {
    req.on('error', reject)
    req.on('response', res => {
      res.resume()
      resolve({ status: res.statusCode ?? 0, verdict: String(res.headers['x-hazelford-verdict']), connection: String(res.headers.connection), took: performance.now() - endedAt })
    })
  })
  req.write(body.slice(0, 5))
  await pause(100)
  await entry.shutdown()
  const closed = server.close()
  const endedAt = performance.now()
  req.end(body.slice(5))
  this.late = await answered
  await closed
})

Then('the caller is told within {int} ms that it did not run, and its connection is closed', function (this: LateWorld, ms: number) {
  const { status, verdict, connection, took } = this.late
  assert.deepEqual({ status, verdict, connection }, { status: 503, verdict: 'not-run', connection: 'close' })
  assert.ok(took < ms, `${took} ms`)
})
