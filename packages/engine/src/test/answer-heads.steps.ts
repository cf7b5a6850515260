/**
 * Steps on messages that are answers, or none, to a client of a plain service.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { type AddressInfo, createServer } from 'node:net'
import { After, Then, When } from '@cucumber/cucumber'
import { createPlainClient } from '../lib/plain-client.js'

interface HeadsWorld { outcome: string, status: number | undefined, bytes: number, close: () => Promise<void> }

const longestCallMs = 2_000
const escapes: Readonly<Record<string, string>> = { r: '\r', n: '\n', t: '\t' }

function decode (text: string): string {
  return text.replaceAll(/\\(?:x([0-9a-f]{2})|([rnt]))/g, (_, code: string | undefined, letter: string) =>
    code === undefined ? escapes[letter]! : String.fromCharCode(parseInt(code, 16)))
}

When('a call is answered with {string} and {int} bytes', async function (this: HeadsWorld, head: string, size: number) {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(Buffer.from(`${decode(head)}\r\n\r\n${'x'.repeat(size)}`, 'latin1')))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const client = createPlainClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  this.close = async () => {
    server.close()
    await client.close()
  }
  this.bytes = 0
  this.status = undefined
  this.outcome = await new Promise(resolve => {
    setTimeout(() => resolve('none'), longestCallMs).unref()
    client.call({ method: 'GET', path: '/', headers: [], body: new Uint8Array() }, {
      head: status => { this.status = status },
      data: data => { this.bytes += data.length },
      end: () => resolve('complete'),
      fail: ({ verdict }) => resolve(verdict),
      notLoaded: () => resolve('not loaded')
    })
  })
})

Then('it fails as one that may have run, without any part of an answer', function (this: HeadsWorld) {
  assert.deepEqual({ outcome: this.outcome, status: this.status, bytes: this.bytes }, { outcome: 'may-have-run', status: undefined, bytes: 0 })
})

Then('it is complete with status {int} and {int} bytes', function (this: HeadsWorld, status: number, bytes: number) {
  assert.deepEqual({ outcome: this.outcome, status: this.status, bytes: this.bytes }, { outcome: 'complete', status, bytes })
})

After(async function (this: HeadsWorld) { await this.close?.() })
