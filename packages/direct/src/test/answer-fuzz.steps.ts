/**
 * Sends random sequences of parts of answers to an exchange, and compares it with a naive reader.
 */
import assert from 'node:assert/strict'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { Then } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import type { CallCodec } from '@hazelford/ports'
import fc from 'fast-check'
import { BodyMemory } from '../lib/relay/body-memory.js'
import { ConnectionPool } from '../lib/relay/connection-pool.js'
import { Exchange } from '../lib/relay/exchange.js'

type End = 'closes' | 'is reset' | 'stays open'
type Outcome = { readonly kind: 'complete', readonly body: string } | { readonly kind: 'refused' | 'lost' }

const event = 'id: 1\ndata: a\n\n'
const chunked = 'Transfer-Encoding: chunked\r\n\r\n'
const stream = 'Content-Type: text/event-stream\r\n'
/** Parts of answers; some of them are valid only after certain others, or never. */
const parts = [
  'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n', 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', `HTTP/1.1 200 OK\r\n${chunked}`, 'HTTP/1.1 200 OK\r\n\r\n',
  `HTTP/1.1 200 OK\r\n${stream}${chunked}`, `HTTP/1.1 200 OK\r\n${stream}\r\n`, `HTTP/1.1 503 Full\r\n${chunked}`, 'HTTP/1.1 503 Full\r\nContent-Length: 3\r\n\r\n',
  'HTTP/1.1 100 Continue\r\n\r\n', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n', 'HTTP/1.1 200 OK\r\n', 'X-Filler: x\r\n', '\r\n',
  'abc', '3\r\nabc\r\n', `f\r\n${event}\r\n`, event, '0\r\n\r\n', '0\r\n', '1\r\n', `4000\r\n${'x'.repeat(0x4000)}\r\n`
]
const mostRepeats = 200
const timeLimit = 400
const quietMs = 40
/** Time by which the connection of an exchange that nobody needs is free or closed. */
const releaseMs = 1_000
const timeout = 120_000
const seed = 66

const codec = {
  readAnswer: (status: number) => ({ notRun: status === 503, sealed: true, requestId: 'id-1', instance: undefined, notice: { rateLimit: undefined, leaving: false, backoff: undefined } })
} as unknown as CallCodec

/** Reads the body of chunks; undefined when it is incomplete. */
function readChunks (text: string): string | undefined {
  let body = ''
  for (let rest = text; ;) {
    const line = /^([0-9a-f]+)\r\n/.exec(rest)
    if (line === null) return undefined
    const size = parseInt(line[1]!, 16)
    if (size === 0) return /^0+\r\n(?:[^\r\n]+\r\n)*\r\n/.test(rest) ? body : undefined
    body += rest.slice(line[0].length, line[0].length + size)
    rest = rest.slice(line[0].length + size)
    if (!rest.startsWith('\r\n')) return undefined
    rest = rest.slice(2)
  }
}

/** Reads an answer as a whole, when its connection has ended; undefined when it is incomplete. */
function readNaively (text: string, end: End): string | undefined {
  let rest = text
  for (let skipped = ''; skipped !== rest;) {
    skipped = rest
    rest = rest.replace(/^(?:\r\n)+/, '').replace(/^HTTP\/1.1 1\d\d [^\r\n]*\r\n(?:[^\r\n]+\r\n)*\r\n/, '')
  }
  const head = /^HTTP\/1.1 \d{3} [^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n/.exec(rest)
  if (head === null) return undefined
  const body = rest.slice(head[0].length)
  const length = /^Content-Length: (\d+)\r\n/m.exec(head[1]!)?.[1]
  if (head[1]!.includes('chunked')) return readChunks(body)
  if (length !== undefined) return body.length >= Number(length) ? body.slice(0, Number(length)) : undefined
  return end === 'closes' ? body : undefined
}

async function play (texts: readonly string[], end: End): Promise<void> {
  const text = texts.join('')
  const sockets: Socket[] = []
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => socket.write(text, () => {
      if (end === 'closes') socket.end()
      if (end === 'is reset') setTimeout(() => socket.resetAndDestroy(), quietMs / 4)
    }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const pool = new ConnectionPool(systemClock, { host: '127.0.0.1', port, maxConnections: 1 })
  const outcomes: Outcome[] = []
  let received = ''
  const final = (outcome: Outcome): void => { outcomes.push(outcome) }
  const exchange = new Exchange(systemClock, codec, pool, { id: 'id-1', instance: 'i-1', host: '127.0.0.1', port, method: 'GET', path: '/', headers: [], body: undefined, timeLimit, repeatable: true, isStream: false, continues: false, firstDataSilence: undefined, gapSilence: undefined, lastEventId: undefined, verify: undefined }, {
    noticed: () => {},
    begin: () => assert.equal(outcomes.length, 0),
    refused: () => final({ kind: 'refused' }),
    unreachable: () => final({ kind: 'lost' }),
    lost: () => final({ kind: 'lost' }),
    stalled: () => {},
    exceeded: () => {},
    whole: ({ body }) => final({ kind: 'complete', body: body.toString('latin1') }),
    data: bytes => {
      assert.equal(outcomes.length, 0)
      received += bytes.toString('latin1')
    },
    end: () => final({ kind: 'complete', body: received })
  }, new BodyMemory(Infinity), async () => true)
  await new Promise(resolve => setTimeout(resolve, quietMs))
  exchange.abandon()
  await new Promise(resolve => setTimeout(resolve, quietMs))
  const shown = JSON.stringify({ texts: texts.map(each => `${each.slice(0, 60)} (${each.length})`), end, outcomes })
  assert.ok(outcomes.length <= 1, shown)
  const [outcome] = outcomes
  if (outcome?.kind === 'complete') assert.equal(outcome.body, readNaively(text, end), shown)
  pool.close()
  const releasedBy = performance.now() + releaseMs
  while (!pool.hasRoom && performance.now() < releasedBy) await new Promise(resolve => setTimeout(resolve, quietMs))
  assert.ok(pool.hasRoom, `A connection is in use. ${shown}`)
  for (const socket of sockets) socket.destroy()
  server.close()
}

Then('{int} random sequences of parts of answers each end once at most, are complete only if a naive reader says so, and leave no connection in use', { timeout }, async (numRuns: number) => {
  const part = fc.tuple(fc.constantFrom(...parts), fc.oneof({ weight: 5, arbitrary: fc.constant(1) }, { weight: 1, arbitrary: fc.integer({ min: 2, max: mostRepeats }) })).map(([text, times]) => text.repeat(times))
  const answer = fc.tuple(fc.array(part, { minLength: 1, maxLength: 6 }), fc.constantFrom<End>('closes', 'is reset', 'stays open'))
  const answers = fc.sample(answer, { seed, numRuns })
  const width = 20
  for (let from = 0; from < answers.length; from += width) await Promise.all(answers.slice(from, from + width).map(([texts, end]) => play(texts, end)))
})
