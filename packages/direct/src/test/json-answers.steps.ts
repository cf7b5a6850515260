/**
 * Steps on answers to calls of the store, of engines and of entries.
 */
import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { Worker } from 'node:worker_threads'
import { After, Then, When } from '@cucumber/cucumber'
import { callJson, type JsonAnswer, NoAnswer } from '../lib/peers/json-client.js'
import type { ConnectionEnding, EndingUpstreamData } from './support/ending-upstream.js'

interface JsonWorld {
  upstreams: Worker[]
  outcome: JsonAnswer | Error
  took: number
  outcomes: readonly (JsonAnswer | Error)[]
}

const gap = 40
const later = 120
/** Time limit of a call. */
const callMs = 4_000
const timeout = 10_000
/** The process is busy when the last data and the end of its connection arrive. */
const busyAfter = 20
const busyFor = 50
const body = '{"a":1}'

After(async function (this: JsonWorld) { for (const upstream of this.upstreams ?? []) await upstream.terminate() })

async function startUpstream (world: JsonWorld, workerData: EndingUpstreamData): Promise<number> {
  const worker = new Worker(new URL('./support/ending-upstream.js', import.meta.url), { workerData })
  world.upstreams = [...world.upstreams ?? [], worker]
  return await new Promise<number>(resolve => { worker.once('message', resolve) })
}

function keepBusy (ms: number): void {
  const end = performance.now() + ms
  while (performance.now() < end);
}

/** Makes a call to an upstream. */
async function call (world: JsonWorld, data: EndingUpstreamData): Promise<void> {
  const port = await startUpstream(world, data)
  const agent = new Agent({ keepAlive: true })
  const startedAt = performance.now()
  world.outcome = await callJson(agent, { host: '127.0.0.1', port, method: 'GET', path: '/', timeout: callMs }).catch((error: Error) => error)
  world.took = performance.now() - startedAt
  agent.destroy()
}

/** Replaces `\\xHH` by the character that it stands for. */
function unescape (text: string): string {
  return text.replace(/\\x([0-9a-f]{2})/g, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
}

When('a call is answered with status {string} and the field {string}', { timeout }, async function (this: JsonWorld, status: string, field: string) {
  const framing = field.startsWith('Transfer-Encoding') ? '' : `Content-Length: ${body.length}\r\n`
  const head = `HTTP/1.1 ${unescape(status)}\r\n${field === '' ? '' : `${unescape(field)}\r\n`}${framing}\r\n`
  await call(this, { first: head, last: body, ending: framing === '' ? 'closes' : 'stays open', gap, later })
})

When('a call is answered in chunks with trailers', { timeout }, async function (this: JsonWorld) {
  const first = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n'
  await call(this, { first, last: `${body.length.toString(16)}\r\n${body}\r\n0\r\nX-A: b\r\n\r\n`, ending: 'stays open', gap, later })
})

When('{int} calls are answered without a length by connections that {string}', { timeout }, async function (this: JsonWorld, calls: number, ending: ConnectionEnding) {
  const port = await startUpstream(this, { first: 'HTTP/1.1 200 OK\r\n\r\n', last: body, ending, gap, later })
  const agent = new Agent({ keepAlive: true })
  const outcomes: (JsonAnswer | Error)[] = []
  for (let n = 0; n < calls; n++) {
    const outcome = callJson(agent, { host: '127.0.0.1', port, method: 'GET', path: '/', timeout: callMs }).catch((error: Error) => error)
    setTimeout(() => keepBusy(busyFor), busyAfter)
    outcomes.push(await outcome)
  }
  agent.destroy()
  this.outcomes = outcomes
})

Then('each of them ends as {string}', function (this: JsonWorld, outcome: 'whole' | 'no answer') {
  assert.deepEqual(this.outcomes.map(each => each instanceof NoAnswer ? 'no answer' : each instanceof Error ? each.message : each.body), this.outcomes.map(() => outcome === 'whole' ? JSON.parse(body) as unknown : outcome))
})

Then('it has no answer within {int} ms', function (this: JsonWorld, ms: number) {
  assert.ok(this.outcome instanceof NoAnswer, JSON.stringify(this.outcome))
  assert.ok(this.took <= ms, `${this.took} ms`)
})

Then('it has the whole answer', function (this: JsonWorld) {
  assert.ok(!(this.outcome instanceof Error), String(this.outcome))
  assert.deepEqual([this.outcome.status, this.outcome.body], [200, JSON.parse(body)])
})
