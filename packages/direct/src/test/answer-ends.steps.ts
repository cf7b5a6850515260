/**
 * Steps on answers whose upstream ends their connection before they were read.
 */
import assert from 'node:assert/strict'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import type { AnswerMetadata, CallCodec } from '@hazelford/ports'
import { BodyMemory } from '../lib/relay/body-memory.js'
import { ConnectionPool } from '../lib/relay/connection-pool.js'
import { Exchange } from '../lib/relay/exchange.js'

type Kind = 'plain' | 'stream'
type Framing = 'length' | 'chunks' | 'connection'
type End = 'closes after' | 'closes within' | 'is reset after'

interface EndsWorld {
  outcome: 'whole' | 'lost'
  received: Buffer
  sent: Buffer
}

/** Bytes of the last part; few enough for the end of the connection to be read while the reader pauses. */
const lastPart = 4_000
/** Time for the upstream's end of the connection to arrive. */
const endArrivesMs = 60
const limitMs = 2_000

const facts: AnswerMetadata = { notRun: false, sealed: true, requestId: 'id-1', instance: undefined, notice: { rateLimit: undefined, leaving: false, backoff: undefined } }
const codec = { readAnswer: () => facts } as unknown as CallCodec

function eventOf (id: number, size: number): Buffer {
  const [before, after] = [`id: ${id}\ndata: `, '\n\n']
  return Buffer.from(before + 'e'.repeat(size - before.length - after.length) + after)
}

/** Two parts of an answer's body: the first one is large enough to be passed on at once. */
function partsOf (kind: Kind): readonly [Buffer, Buffer] {
  if (kind === 'stream') return [eventOf(1, 2_000), eventOf(2, lastPart)]
  return [Buffer.alloc(600_000, 'a'), Buffer.alloc(lastPart, 'b')]
}

function headOf (kind: Kind, framing: Framing, length: number): string {
  const framed = { length: `Content-Length: ${length}\r\nConnection: close\r\n`, chunks: 'Transfer-Encoding: chunked\r\nConnection: close\r\n', connection: '' }[framing]
  return `HTTP/1.1 200 OK\r\n${kind === 'stream' ? 'Content-Type: text/event-stream\r\n' : ''}${framed}\r\n`
}

function chunkOf (part: Buffer): Buffer { return Buffer.concat([Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n')]) }

/** Sends the rest of an answer, or a part of it, and ends the connection. */
function sendRest (socket: Socket, part: Buffer, framing: Framing, end: End): void {
  const rest = framing === 'chunks' ? Buffer.concat([chunkOf(part), Buffer.from('0\r\n\r\n')]) : part
  if (end !== 'is reset after') {
    socket.end(end === 'closes within' ? rest.subarray(0, -10) : rest)
    return
  }
  socket.write(rest)
  // A reset discards what the other side has not read yet.
  setTimeout(() => socket.resetAndDestroy(), endArrivesMs / 2)
}

When('the connection {string} a {string} answer that is framed by its {string} while its reader pauses', async function (this: EndsWorld, end: End, kind: Kind, framing: Framing) {
  const [first, last] = partsOf(kind)
  this.sent = Buffer.concat([first, last])
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => socket.write(Buffer.concat([Buffer.from(headOf(kind, framing, this.sent.length)), framing === 'chunks' ? chunkOf(first) : first])))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const pool = new ConnectionPool(systemClock, { host: '127.0.0.1', port, maxConnections: 1 })
  const chunks: Buffer[] = []
  let size = 0
  this.outcome = await new Promise((resolve, reject) => {
    const fail = (what: string): void => reject(new Error(what))
    setTimeout(() => fail(`Neither whole nor lost; ${size} of ${this.sent.length} bytes.`), limitMs).unref()
    const exchange = new Exchange(systemClock, codec, pool, { id: 'id-1', instance: 'i-1', host: '127.0.0.1', port, method: 'GET', path: '/', headers: [], body: undefined, timeLimit: limitMs, repeatable: false, isStream: false, continues: false, firstDataSilence: undefined, gapSilence: undefined, lastEventId: undefined, verify: undefined }, {
      noticed: () => {},
      begin: () => {},
      refused: fail,
      unreachable: fail,
      stalled: fail,
      whole: () => fail('passed on at its end'),
      lost: () => resolve('lost'),
      end: () => resolve('whole'),
      data: bytes => {
        chunks.push(bytes)
        size += bytes.length
        if (size !== first.length) return
        exchange.pause()
        sendRest(sockets[0]!, last, framing, end)
        setTimeout(() => exchange.resume(), endArrivesMs)
      },
      exceeded: () => fail('too much')
    }, new BodyMemory(Infinity), async () => true)
  })
  this.received = Buffer.concat(chunks)
  pool.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

Then('the exchange ends as {string}', function (this: EndsWorld, outcome: EndsWorld['outcome']) {
  assert.equal(this.outcome, outcome)
  if (outcome === 'whole') assert.deepEqual(this.received, this.sent)
})
