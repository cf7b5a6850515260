/**
 * Steps on answers without a length, whose end only their connection tells.
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { After, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import type { AnswerMetadata, CallCodec } from '@hazelford/ports'
import { BodyMemory } from '../lib/relay/body-memory.js'
import { ConnectionPool } from '../lib/relay/connection-pool.js'
import { Exchange } from '../lib/relay/exchange.js'
import type { ConnectionEnding, EndingUpstreamData } from './support/ending-upstream.js'

type Kind = 'a stream' | 'small answer' | 'large answer' | 'paused answer'
type RequestKind = 'a read' | 'a booking' | '5 MB upload'
type State = 'listens' | 'does not listen' | 'can\'t be checked' | 'is checked for 150 ms' | 'is checked after an abandon' | 'is checked after an ignore'
type Outcome = 'whole' | 'lost' | 'reset' | 'unknown' | 'not-running' | 'none'

interface EndWorld {
  workers: Worker[]
  repeat: () => Promise<Outcome>
  outcome: Outcome
  checks: number
  listeners: readonly number[]
}

/** What an exchange does apart from its request. */
interface Play {
  readonly port: number
  readonly request: RequestKind
  readonly pool?: ConnectionPool
  readonly isStream?: boolean
  /** Body that a whole answer must have. */
  readonly expected: Buffer
  readonly listens?: () => Promise<boolean>
  /** Is called with the head. */
  readonly begun?: (exchange: Exchange) => void
  readonly onSocket?: (socket: Socket) => void
}

const gap = 40
const later = 120
/** The process is busy when the last data and the end of its connection arrive. */
const busyAfter = 20
const busyFor = 50
const pausedFor = 100
const limitMs = 2_000
const timeout = 30_000
const uploadBytes = 5_000_000
const loopback = '127.0.0.1'

const facts: AnswerMetadata = { notRun: false, sealed: true, requestId: 'id-1', instance: undefined, notice: { rateLimit: undefined, leaving: false, backoff: undefined } }
const codec = { readAnswer: () => facts } as unknown as CallCodec

function wait (ms: number): Promise<void> { return new Promise(resolve => setTimeout(resolve, ms)) }

function keepBusy (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

function bodyOf (request: RequestKind): Buffer | undefined {
  switch (request) {
    case 'a read': return undefined
    case 'a booking': return Buffer.from('chair')
    case '5 MB upload': return Buffer.alloc(uploadBytes)
  }
}

/** Runs one exchange; `none` if it has not ended within {@link limitMs}. */
function play ({ port, request, pool = new ConnectionPool(systemClock, { host: loopback, port, maxConnections: 1 }), isStream = false, expected, listens = async () => true, begun = () => {}, onSocket = () => {} }: Play): Promise<Outcome> {
  const chunks: Buffer[] = []
  return new Promise((resolve, reject) => {
    const fail = (what: string): void => reject(new Error(what))
    const timer = setTimeout(() => resolve('none'), limitMs)
    const end = (outcome: Outcome): void => {
      clearTimeout(timer)
      resolve(outcome)
    }
    const whole = (body: Buffer): void => {
      assert.deepEqual(body, expected)
      end('whole')
    }
    const body = bodyOf(request)
    const exchange: Exchange = new Exchange(systemClock, codec, pool, { id: 'id-1', instance: 'i-1', host: loopback, port, method: body === undefined ? 'GET' : 'POST', path: '/', headers: [], body, timeLimit: limitMs, repeatable: false, isStream, continues: false, firstDataSilence: undefined, gapSilence: undefined, lastEventId: undefined, verify: undefined }, {
      noticed: () => begun(exchange),
      begin: () => {},
      refused: fail,
      unreachable: fail,
      stalled: fail,
      whole: answer => whole(answer.body),
      lost: (_cause, kind, unproved) => {
        assert.equal(kind, 'broke')
        end(unproved ?? 'lost')
      },
      end: () => whole(Buffer.concat(chunks)),
      data: bytes => { chunks.push(bytes) },
      exceeded: () => fail('too much')
    }, new BodyMemory(Infinity), listens)
    const { _req: req } = exchange as unknown as { readonly _req: NodeJS.EventEmitter }
    req.on('socket', onSocket)
  })
}

function eventOf (id: number, size: number): string { return `id: ${id}\ndata: ${'e'.repeat(size)}\n\n` }

function partsOf (kind: Kind): readonly [string, string] {
  switch (kind) {
    case 'a stream': return [eventOf(1, 500), eventOf(2, 500)]
    case 'small answer': return ['a'.repeat(500), 'b'.repeat(500)]
    case 'large answer': return ['a'.repeat(600_000), 'b'.repeat(4_000)]
    case 'paused answer': return ['a'.repeat(600_000), 'b'.repeat(4_000)]
  }
}

function headOf (kind: Kind): string { return `HTTP/1.1 200 OK\r\n${kind === 'a stream' ? 'Content-Type: text/event-stream\r\n' : ''}\r\n` }

async function startUpstream (world: EndWorld, workerData: EndingUpstreamData): Promise<number> {
  const worker = new Worker(new URL('./support/ending-upstream.js', import.meta.url), { workerData })
  world.workers = [...world.workers ?? [], worker]
  return await new Promise<number>(resolve => { worker.once('message', resolve) })
}

After(async function (this: EndWorld) { for (const worker of this.workers ?? []) await worker.terminate() })

When('the connection of {string} without a length {string} after its last data, to {string}, while the process is busy', async function (this: EndWorld, kind: Kind, ending: ConnectionEnding, request: RequestKind) {
  const [first, last] = partsOf(kind)
  const port = await startUpstream(this, { first: headOf(kind) + first, last, ending, gap, later })
  const begun = (exchange: Exchange): void => {
    if (kind === 'paused answer') {
      setTimeout(() => exchange.pause(), busyAfter / 2)
      setTimeout(() => exchange.resume(), pausedFor)
    }
    setTimeout(() => keepBusy(busyFor), busyAfter)
  }
  this.repeat = () => play({ port, request, isStream: kind === 'a stream', expected: Buffer.from(first + last), begun })
})

Then('each of {int} exchanges ends as {string}', { timeout }, async function (this: EndWorld, count: number, outcome: Outcome) {
  const outcomes: Outcome[] = []
  for (let n = 0; n < count; n++) outcomes.push(await this.repeat())
  // An error of the upload may be read before the end of the connection.
  const isLoss = (each: Outcome): boolean => each === 'lost' || each === 'reset' || each === 'unknown'
  assert.deepEqual(outcomes.map(each => outcome === 'lost' && isLoss(each) ? 'lost' : each), Array.from({ length: count }, () => outcome))
})

When('the connection of "a stream" without a length ends in an orderly way, and its upstream {string}', { timeout }, async function (this: EndWorld, state: State) {
  const [first, last] = partsOf('a stream')
  const port = await startUpstream(this, { first: headOf('a stream') + first, last, ending: 'closes', gap, later })
  let exchange: Exchange | undefined
  this.checks = 0
  const listens = async (): Promise<boolean> => {
    this.checks++
    switch (state) {
      case 'listens': return true
      case 'does not listen': return false
      case 'can\'t be checked': throw new Error('no answer')
      case 'is checked for 150 ms':
        exchange?.pause()
        exchange?.resume()
        await wait(150)
        return true
      case 'is checked after an abandon':
        exchange?.abandon()
        return false
      case 'is checked after an ignore':
        exchange?.ignore()
        return false
    }
  }
  this.outcome = await play({ port, request: 'a read', isStream: true, expected: Buffer.from(first + last), listens, begun: begun => { exchange = begun } })
})

Then('the exchange ends as {string} after {int} checks whether it listens', function (this: EndWorld, outcome: Outcome, checks: number) {
  assert.deepEqual([this.outcome, this.checks], [outcome, checks])
})

/** Answers every request of a connection in the same way. */
async function answerAll (answer: string): Promise<{ readonly port: number, readonly close: () => void }> {
  const sockets: Socket[] = []
  const server = createServer({ noDelay: true }, socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', () => socket.write(answer))
  })
  await new Promise<void>(resolve => { server.listen(0, loopback, resolve) })
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

When('an answer that is framed by its {string} ends', async function (this: EndWorld, framing: 'length' | 'chunks' | 'status') {
  const answer = { length: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab', chunks: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n', status: 'HTTP/1.1 204 No Content\r\n\r\n' }[framing]
  const { port, close } = await answerAll(answer)
  this.checks = 0
  this.outcome = await play({
    port,
    request: 'a read',
    expected: Buffer.from(framing === 'status' ? '' : 'ab'),
    listens: async () => {
      this.checks++
      return false
    }
  })
  close()
})

Then('it is whole after {int} checks whether its upstream listens', function (this: EndWorld, checks: number) {
  assert.deepEqual([this.outcome, this.checks], ['whole', checks])
})

When('{int} requests are answered on {int} connection', async function (this: EndWorld, requests: number, connections: number) {
  const { port, close } = await answerAll('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab')
  const pool = new ConnectionPool(systemClock, { host: loopback, port, maxConnections: connections })
  const listeners: number[] = []
  for (let n = 0; n < requests; n++) {
    let socket: Socket | undefined
    assert.equal(await play({ port, request: 'a read', pool, expected: Buffer.from('ab'), onSocket: used => { socket = used } }), 'whole')
    await wait(1)
    listeners.push(['end', 'data', 'error', 'close'].reduce((sum, event) => sum + socket!.listenerCount(event), 0))
  }
  assert.equal(pool.opened, connections)
  pool.close()
  close()
  this.listeners = listeners
})

Then('the connection has as many listeners as after the first of them', function (this: EndWorld) {
  assert.deepEqual(this.listeners, this.listeners.map(() => this.listeners[0]))
})
