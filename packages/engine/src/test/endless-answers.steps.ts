/**
 * Steps on upstreams that never end their answers.
 */
import assert from 'node:assert/strict'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { After, Then, When } from '@cucumber/cucumber'
import type { Failure } from '@hazelford/core'
import type { AnswerSink } from '../lib/answer-sink.js'
import { createEngineClient } from '../lib/engine-client.js'
import { createPlainClient } from '../lib/plain-client.js'

interface EndlessWorld { isComplete: boolean, failure: Failure | undefined, took: number, sockets: Set<Socket>, close: () => Promise<void> }

const head = 'HTTP/1.1 200 OK\r\n'
const chunked = 'Transfer-Encoding: chunked\r\n\r\n'
const stream = `${head}Content-Type: text/event-stream\r\n${chunked}`
const answers: Readonly<Record<string, { readonly start: string, readonly repeated: string }>> = {
  'one event': { start: stream, repeated: `400\r\n${'x'.repeat(1_024)}\r\n` },
  'one event in tiny chunks': { start: stream, repeated: '1\r\nx\r\n' },
  'events after the last one': { start: `${stream}2f\r\nid: 0\ndata: {"model":"a"}\n\nid: 1\ndata: [DONE]\n\n\r\n`, repeated: '9\r\ndata: x\n\n\r\n' },
  'a body': { start: `${head}Content-Type: application/json\r\n${chunked}`, repeated: `400\r\n${'x'.repeat(1_024)}\r\n` },
  'interim responses': { start: '', repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n' }
}
const pieceBytes = 64 * 1024
const timeout = 15_000
const longestMs = 10_000
const closedWithinMs = 1_000

/** Answers each call without end, but the cancellation of one. */
function answerEndlessly (socket: Socket, { start, repeated }: { readonly start: string, readonly repeated: string }): void {
  const piece = repeated.repeat(Math.ceil(pieceBytes / repeated.length))
  const send = (): void => { if (!socket.destroyed) socket.write(piece, () => setImmediate(send)) }
  socket.on('error', () => {})
  socket.once('data', request => {
    if (request.toString().startsWith('DELETE')) return socket.end(`${head}Content-Length: 0\r\n\r\n`)
    socket.write(start)
    send()
  })
}

When('a {word} {word} is answered with {string} without end', { timeout }, answerCall)
When('a completion is answered with {string} without end', { timeout }, function (this: EndlessWorld, what: string) { return answerCall.call(this, 'completion', '', what) })

async function answerCall (this: EndlessWorld, kind: string, _: string, what: string): Promise<void> {
  const sockets = new Set<Socket>()
  this.sockets = sockets
  const server = createServer(socket => {
    // The pool may open a connection for later calls, which gets no request.
    socket.once('data', () => sockets.add(socket))
    socket.on('close', () => sockets.delete(socket))
    answerEndlessly(socket, answers[what]!)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const engine = createEngineClient(url)
  const plain = createPlainClient(url)
  this.close = async () => {
    server.close()
    for (const socket of sockets) socket.destroy()
    await Promise.all([engine.close(), plain.close()])
  }
  const startedAt = performance.now()
  this.isComplete = false
  this.failure = await new Promise(resolve => {
    setTimeout(() => resolve(undefined), longestMs).unref()
    const sink: AnswerSink = {
      head: () => {},
      data: () => {},
      end: () => {
        this.isComplete = true
        resolve(undefined)
      },
      notLoaded: () => resolve(undefined),
      fail: resolve
    }
    if (kind === 'completion') engine.complete({ id: 'run-1', path: '/v1/completions', body: Buffer.from('{}'), engineName: 'a', publicName: 'a', priority: 1 }, sink)
    else plain.call({ method: 'GET', path: '/stock', headers: [], body: new Uint8Array() }, sink)
  })
  this.took = performance.now() - startedAt
}

Then('it fails within {int} ms as one that may have run, and no connection stays open', async function (this: EndlessWorld, ms: number) {
  assert.equal(this.failure?.verdict, 'may-have-run')
  assert.ok(this.took <= ms, `${this.took} ms`)
  await allClosed(this, ms)
})

Then('it is complete, and no connection stays open', async function (this: EndlessWorld) {
  assert.ok(this.isComplete)
  await allClosed(this, closedWithinMs)
})

async function allClosed ({ sockets }: EndlessWorld, ms: number): Promise<void> {
  const open = [...sockets].map(socket => new Promise(resolve => { socket.once('close', resolve) }))
  await Promise.race([Promise.all(open), new Promise((_resolve, reject) => { setTimeout(() => reject(new Error('A connection is open.')), ms).unref() })])
}

After(async function (this: EndlessWorld) { await this.close?.() })
