/**
 * Steps on limits of the server for callers.
 */
import assert from 'node:assert/strict'
import { Agent, request } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import { CallerServer } from '../lib/relay/caller-server.js'

interface LimitsWorld {
  callers: CallerServer
  agent: Agent
  handled: number
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
    bodyTimeout: () => 1_000,
    closing: () => false,
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
