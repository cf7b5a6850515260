/**
 * Steps on limits of the server for callers.
 */
import assert from 'node:assert/strict'
import { Agent, request } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import { BodyMemory } from '../lib/relay/body-memory.js'
import { CallerServer } from '../lib/relay/caller-server.js'

interface LimitsWorld {
  callers: CallerServer
  agent: Agent
  handled: number
  connections: Connection[]
}

interface Connection {
  readonly socket: Socket
  /** What the server has sent. */
  answers: string
}

const bodyBytes = 1_000
const half = 'x'.repeat(bodyBytes / 2)
/** First halves and second halves of a request with a body, by its framing. */
const requests = {
  length: [`POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n${half}`, half],
  chunks: [`POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${(bodyBytes / 2).toString(16)}\r\n${half}\r\n`, `${(bodyBytes / 2).toString(16)}\r\n${half}\r\n0\r\n\r\n`]
} as const

type Framing = keyof typeof requests

function open ({ callers }: LimitsWorld): Connection {
  const connection: Connection = { socket: connect((callers.server.address() as AddressInfo).port, '127.0.0.1'), answers: '' }
  connection.socket.on('data', data => { connection.answers += data.toString() })
  return connection
}

/** Sends on a connection, and waits for an answer of this status. */
async function exchange (connection: Connection, text: string, status: number): Promise<string> {
  const { answers: before, socket } = connection
  socket.write(text)
  const end = performance.now() + 800
  while (connection.answers === before) {
    assert.ok(performance.now() < end && !socket.destroyed, 'no answer')
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  const answer = connection.answers.slice(before.length)
  assert.ok(answer.startsWith(`HTTP/1.1 ${status} `), answer)
  return answer
}

function send ({ callers, agent }: LimitsWorld, headers: Record<string, string>): Promise<number> {
  const { port } = callers.server.address() as AddressInfo
  return new Promise((resolve, reject) => {
    const req = request({ agent, host: '127.0.0.1', port, path: '/', headers }, res => {
      res.resume()
      res.on('end', () => resolve(res.statusCode ?? 0))
    })
    req.on('error', reject)
    req.end()
  })
}

Given('an entry\'s server for callers, and a connection to it', async function (this: LimitsWorld) {
  this.handled = 0
  this.agent = new Agent({ keepAlive: true, maxSockets: 1 })
  this.callers = new CallerServer({
    clock: systemClock,
    maxBodyBytes: () => 1_000,
    bodyMemory: new BodyMemory(2_500),
    bodyRefused: () => {},
    bodyTimeout: () => 1_000,
    closing: () => false,
    callerLeft: () => {},
    dropped: () => {},
    handle: ({ answer }) => {
      this.handled++
      answer.whole({ status: 200, message: 'OK', headers: [], framed: true, body: Buffer.from('done') })
    }
  })
  await this.callers.listen('127.0.0.1', 0)
  assert.equal(await send(this, {}), 200)
})

After(function (this: Partial<LimitsWorld>) {
  for (const { socket } of this.connections ?? []) socket.destroy()
  this.agent?.destroy()
  this.callers?.close()
})

When('headers of {int} bytes are allowed from then on', function (this: LimitsWorld, maxHeaderBytes: number) {
  this.callers.limit({ maxHeaderBytes, maxBodyBytes: 1_000, headerTimeout: 1_000, idleTimeout: 1_000 })
})

Then('a request with headers of {int} bytes is handled on that connection', async function (this: LimitsWorld, bytes: number) {
  assert.equal(await send(this, { padding: 'x'.repeat(bytes - 100) }), 200)
})

Then('a request with headers of {int} bytes gets status {int} on that connection, and is not handled', async function (this: LimitsWorld, bytes: number, status: number) {
  const before = this.handled
  assert.equal(await send(this, { padding: 'x'.repeat(bytes - 100) }), status)
  assert.equal(this.handled, before)
})

When('{int} callers send a part of their bodies, which together take the memory, and a third caller does, framed by its {string}', async function (this: LimitsWorld, holders: number, framing: Framing) {
  this.connections = Array.from({ length: holders + 1 }, () => open(this))
  for (const { socket } of this.connections.slice(0, holders)) socket.write(requests.length[0])
  await new Promise(resolve => setTimeout(resolve, 50))
  this.handled = 0
  const last = this.connections.at(-1)!
  // 500 of 2,500 bytes are left; the parts of the chunked body arrive one by one.
  const answer = framing === 'length' ? await exchange(last, requests.length[0], 503) : await exchange(last, requests.chunks[0] + '1\r\nx\r\n', 503)
  assert.match(answer, /\r\nRetry-After: 0\.\d+\r\n/)
  last.socket.write(framing === 'length' ? half : '0\r\n\r\n')
})

Then('the third one gets status 503 with a time to retry, and its connection can be used once it has sent the rest', async function (this: LimitsWorld) {
  await exchange(this.connections.at(-1)!, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n', 200)
  assert.equal(this.handled, 1)
})

Then('the bodies of the first two are handled, and a further one after them', async function (this: LimitsWorld) {
  for (const connection of this.connections.slice(0, -1)) await exchange(connection, half, 200)
  await exchange(this.connections.at(-1)!, requests.chunks.join(''), 200)
  assert.equal(this.handled, 4)
})

When('a caller whose connection is to be closed sends a part of a body that has no room', async function (this: LimitsWorld) {
  this.connections = Array.from({ length: 3 }, () => open(this))
  for (const { socket } of this.connections.slice(1)) socket.write(requests.length[0])
  await new Promise(resolve => setTimeout(resolve, 50))
  await exchange(this.connections[0]!, requests.length[0].replace('Host', 'Connection: close\r\nHost'), 503)
})

Then('it gets status 503, and its connection is closed once it has sent the rest', async function (this: LimitsWorld) {
  const { socket } = this.connections[0]!
  let isClosed = false
  const closed = new Promise<void>(resolve => {
    socket.once('close', () => {
      isClosed = true
      resolve()
    })
  })
  await new Promise(resolve => setTimeout(resolve, 100))
  assert.ok(!isClosed, 'closed before the rest was sent')
  socket.write(half)
  await closed
})
