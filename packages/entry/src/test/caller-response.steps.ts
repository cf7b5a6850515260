/**
 * Steps on the response to a caller at an entry with sidecars.
 */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { Then, When } from '@cucumber/cucumber'
import { failure } from '@hazelford/core'
import { CallerResponse } from '../lib/caller-response.js'

interface ResponseWorld { received: string, end: 'reset' | 'cut' | 'orderly-end' }

const part = 'data: part\n\n'
const breakAfterMs = 20

When(/^a (stream|plain) answer to a caller of HTTP\/(1\.[01]) breaks off$/, async function (this: ResponseWorld, kind: string, version: string) {
  const server = createServer((_, res) => {
    const response = new CallerResponse(res, 'r', () => {})
    response.head({ status: 200, headers: [{ name: 'content-type', value: kind === 'stream' ? 'text/event-stream' : 'text/plain' }] })
    response.chunk(Buffer.from(part))
    setTimeout(() => response.break(failure('may-have-run', 'upstream-lost', 'The upstream is gone.')), breakAfterMs)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  this.received = ''
  socket.on('data', (data: Buffer) => { this.received += data.toString() })
  const isReset = new Promise<boolean>(resolve => {
    // The value is cached when it is read first: after a reset the kernel has no peer.
    socket.prependOnceListener('end', () => resolve(socket.remoteAddress === undefined))
    socket.on('error', () => resolve(true))
  })
  socket.write(`GET / HTTP/${version}\r\nHost: h\r\n\r\n`)
  const wasReset = await isReset
  const hasChunks = /^transfer-encoding: chunked\r$/im.test(this.received)
  if (hasChunks) this.end = this.received.endsWith('\r\n0\r\n\r\n') ? 'orderly-end' : 'cut'
  else this.end = wasReset ? 'reset' : 'orderly-end'
  server.close()
})

Then('the caller has its part, and the answer ended as {string}', function (this: ResponseWorld, end: string) {
  assert.ok(this.received.includes(part), this.received)
  assert.equal(this.end, end)
})
