/**
 * Checks how answers that never end are bounded.
 */
import assert from 'node:assert/strict'
import { Agent, get, type IncomingMessage } from 'node:http'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { After, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import fc from 'fast-check'
import { callJson, NoAnswer } from '../lib/peers/json-client.js'
import { discardRest } from '../lib/relay/discard-rest.js'
import { EventFramer } from '../lib/relay/event-framer.js'

interface EndlessWorld { isExceeded: boolean, outcome: unknown, took: number, sockets: Socket[], close: () => void }

const answers: Readonly<Record<string, { readonly start: string, readonly repeated: string }>> = {
  'HTTP/1.1 100 Continue': { start: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
  'HTTP/1.1 103 Early Hints': { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n' },
  'line ends': { start: '', repeated: '\r\n' },
  'a chunk\'s size': { start: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', repeated: '0' },
  'a body': { start: 'HTTP/1.1 200 OK\r\n\r\n', repeated: '[1,2],' }
}
const pieceBytes = 32 * 1024
const timeout = 15_000
const seed = 66

function sendEndlessly (socket: Socket, { start, repeated }: { readonly start: string, readonly repeated: string }): void {
  const piece = repeated.repeat(pieceBytes / repeated.length)
  const send = (): void => { if (!socket.destroyed) socket.write(piece, () => setImmediate(send)) }
  socket.on('error', () => {})
  socket.once('data', () => {
    socket.write(start)
    send()
  })
}

When('a call with a time limit of {int} ms is answered with {string} without end', { timeout }, async function (this: EndlessWorld, ms: number, what: string) {
  this.sockets = []
  const server = createServer(socket => {
    this.sockets.push(socket)
    sendEndlessly(socket, answers[what]!)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const agent = new Agent({ keepAlive: true })
  this.close = () => {
    agent.destroy()
    server.close()
    for (const socket of this.sockets) socket.destroy()
  }
  const startedAt = performance.now()
  this.outcome = await callJson(agent, { host: '127.0.0.1', port: (server.address() as AddressInfo).port, method: 'GET', path: '/', timeout: ms }).catch((error: unknown) => error)
  this.took = performance.now() - startedAt
})

Then('it ends within {int} ms as too large, and its connection is closed', async function (this: EndlessWorld, ms: number) {
  assert.ok(this.outcome instanceof NoAnswer)
  assert.deepEqual([this.outcome.kind, this.outcome.sent], ['too-large', true])
  assert.ok(this.took <= ms, `${this.took} ms`)
  await Promise.all(this.sockets.map(socket => socket.destroyed || new Promise(resolve => { socket.once('close', resolve) })))
})

After(function (this: EndlessWorld) { this.close?.() })

When('the process is blocked for {int} ms after the rest of a refusal was sent', { timeout }, async function (this: EndlessWorld, ms: number) {
  let serverSide: Socket | undefined
  const server = createServer(socket => {
    serverSide = socket
    socket.on('error', () => {})
    socket.once('data', () => socket.write('HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nab'))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const agent = new Agent()
  const res = await new Promise<IncomingMessage>(resolve => { get({ agent, host: '127.0.0.1', port: (server.address() as AddressInfo).port }, resolve) })
  this.isExceeded = false
  const ended = new Promise(resolve => { res.once('close', resolve) })
  discardRest(res, systemClock, { bytes: 16, time: ms - 100 }, () => {}, () => { this.isExceeded = true })
  // After a pause in this phase of the event loop, timers run before sockets are read.
  await new Promise(resolve => { setImmediate(resolve) })
  serverSide!.write('cd')
  const until = performance.now() + ms
  while (performance.now() < until) { /* blocks the event loop */ }
  await ended
  agent.destroy()
  server.close()
  serverSide!.destroy()
})

Then('nothing counts as too much', function (this: EndlessWorld) { assert.equal(this.isExceeded, false) })

/** Joins all reads so far and looks for the last end of an event. */
function naiveFramer (): (read: string) => string {
  let rest = ''
  return read => {
    const text = rest + read
    const end = text.lastIndexOf('\n\n') < 0 ? 0 : text.lastIndexOf('\n\n') + 2
    rest = text.slice(end)
    return text.slice(0, end)
  }
}

Then('a framer and a naive one return the same events for {int} random splits of streams', function (numRuns: number) {
  const reads = fc.array(fc.array(fc.constantFrom('\n', '\n\n', 'id: 1', 'data: a', 'x'), { minLength: 1, maxLength: 6 }).map(parts => parts.join('')), { maxLength: 12 })
  fc.assert(fc.property(reads, texts => {
    const framer = new EventFramer(undefined)
    const naive = naiveFramer()
    let restBytes = 0
    for (const text of texts) {
      const expected = naive(text)
      restBytes += text.length - expected.length
      assert.equal(framer.push(Buffer.from(text))?.bytes.toString() ?? '', expected)
      assert.equal(framer.restBytes, restBytes)
    }
  }), { seed, numRuns })
})
