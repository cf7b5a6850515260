/**
 * Steps on the server of callers.
 */
import assert from 'node:assert/strict'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import type { CallerAnswer } from '../lib/relay/caller-answer.js'
import { BodyMemory } from '../lib/relay/body-memory.js'
import { CallerServer, type DropCause } from '../lib/relay/caller-server.js'

interface ServerWorld {
  server: CallerServer
  socket: Socket
  received: string
  dropped: Array<{ cause: DropCause, headers: readonly string[] }>
  /** What became of the request. */
  outcomes: string[]
}

/** Time for which the process is busy while a request and the close of its connection arrive. */
const busyMs = 20

function requestOf (version: string): string { return `GET / HTTP/${version}\r\nHost: h\r\nX-Request: slow\r\n\r\n` }

const ok = { status: 200, message: 'OK', headers: [] }

/** Starts a server whose answer to a request is written by a function, and a caller that reads nothing of it. */
async function answerUnread (world: ServerWorld, request: string, respond: (answer: CallerAnswer) => void): Promise<void> {
  world.dropped = []
  await new Promise<void>((resolve, reject) => {
    world.server = new CallerServer({
      clock: systemClock,
      maxBodyBytes: () => 1_000,
      bodyMemory: new BodyMemory(1_000),
      bodyRefused: () => {},
      bodyTimeout: () => 1_000,
      closing: () => true,
      handle: ({ answer }) => {
        respond(answer)
        resolve()
      },
      callerLeft: () => {},
      dropped: (cause, headers) => { world.dropped.push({ cause, headers }) }
    })
    world.server.listen('127.0.0.1', 0).then(() => {
      world.socket = connect((world.server.server.address() as AddressInfo).port, '127.0.0.1')
      world.socket.pause()
      world.socket.write(request)
    }, reject)
  })
}

Given('a caller that reads nothing of an answer of {int} bytes', async function (this: ServerWorld, bytes: number) {
  await answerUnread(this, requestOf('1.1'), answer => answer.whole({ ...ok, body: Buffer.alloc(bytes), framed: true }))
})

Given(/^a caller of HTTP\/1\.0 that reads nothing of a (whole|partial) answer of (\d+) bytes without a length$/, async function (this: ServerWorld, kind: string, bytes: string) {
  const body = Buffer.alloc(Number(bytes))
  await answerUnread(this, requestOf('1.0'), answer => {
    if (kind === 'whole') return answer.whole({ ...ok, body, framed: false })
    answer.begin({ ...ok, framed: false })
    answer.data(body)
  })
})

Given(/^a caller of HTTP\/1\.0 that reads nothing of a whole answer of (\d+) bytes, and of one behind it that breaks off$/, async function (this: ServerWorld, bytes: string) {
  const keptRequest = 'GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n'
  const answers: CallerAnswer[] = []
  await new Promise<void>((resolve, reject) => {
    answerUnread(this, keptRequest.repeat(2), answer => {
      answers.push(answer)
      if (answers.length === 1) return
      const [first, second] = answers as [CallerAnswer, CallerAnswer]
      first.whole({ ...ok, body: Buffer.alloc(Number(bytes), 'a'), framed: true })
      second.begin({ ...ok, framed: false })
      second.data(Buffer.from('part'))
      second.break()
      resolve()
    }).catch(reject)
  })
})

When('the caller reads on', async function (this: ServerWorld) {
  this.received = ''
  this.socket.on('data', (part: Buffer) => { this.received += part.toString() })
  await new Promise<void>(resolve => {
    this.socket.on('end', () => resolve())
    this.socket.on('error', () => resolve())
    this.socket.resume()
  })
})

Then('it has {int} bytes of the first answer, and no byte of the second', function (this: ServerWorld, bytes: number) {
  const [head = '', ...rest] = this.received.split('\r\n\r\n')
  assert.match(head, new RegExp(`^content-length: ${bytes}$`, 'im'))
  assert.equal(rest.join().length, bytes)
})

When('the server of callers is closed', function (this: ServerWorld) { this.server.close() })

When('the server of callers is closed, and the kernel closes its connections', function (this: ServerWorld) {
  this.server.close()
  this.server.server.closeAllConnections()
})

Then('the caller\'s connection is reset, and the request is reported as dropped', async function (this: ServerWorld) {
  const { socket } = this
  const end = await new Promise<string>(resolve => {
    // The value is cached when it is read first: after a reset the kernel has no peer.
    socket.prependOnceListener('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'orderly end'))
    socket.on('error', () => resolve('reset'))
    socket.resume()
  })
  assert.equal(end, 'reset')
  assert.deepEqual(this.dropped.map(({ cause }) => cause), ['connection-closed'])
})

Then('the request is reported as dropped, since its connection closes', function (this: ServerWorld) {
  assert.deepEqual(this.dropped, [{ cause: 'connection-closed', headers: ['Host', 'h', 'X-Request', 'slow'] }])
})

When(/^a caller sends a request and (closes its connection|waits for its answer), while the process is busy$/, async function (this: ServerWorld, what: string) {
  this.outcomes = []
  const outcome = new Promise<void>((resolve, reject) => {
    const record = (text: string): void => {
      this.outcomes.push(text)
      resolve()
    }
    this.server = new CallerServer({
      clock: systemClock,
      maxBodyBytes: () => 1_000,
      bodyMemory: new BodyMemory(1_000),
      bodyRefused: () => {},
      bodyTimeout: () => 1_000,
      closing: () => false,
      handle: ({ answer }) => {
        answer.whole({ ...ok, body: Buffer.alloc(1), framed: true })
        record('handled')
      },
      callerLeft: () => record('not handled'),
      dropped: () => record('dropped')
    })
    this.server.listen('127.0.0.1', 0).then(() => {
      this.socket = connect((this.server.server.address() as AddressInfo).port, '127.0.0.1', () => {
        this.socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        if (what === 'closes its connection') this.socket.destroy()
        for (const until = performance.now() + busyMs; performance.now() < until;);
      })
    }, reject)
  })
  await outcome
})

Then(/^the request is (not handled|handled)$/, function (this: ServerWorld, outcome: string) { assert.deepEqual(this.outcomes, [outcome]) })

After(function (this: ServerWorld) {
  if (this.socket === undefined || this.server === undefined) return
  this.socket.destroy()
  this.server.server.close()
  this.server.server.closeAllConnections?.()
})
