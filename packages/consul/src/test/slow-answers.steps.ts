/**
 * Steps on a key-value service whose answers arrive slowly.
 */
import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { Result } from 'neverthrow'
import { createKvClient, type KvFailure, type KvRead } from '../lib/kv-client.js'

const value = 'x'.repeat(100_000)

interface SlowKvWorld { slowKv?: Server, read: Result<KvRead, KvFailure>, tookMs: number }

/** Starts a service that sends some of the parts of its answer. */
async function startService (world: SlowKvWorld, parts: number, sent: number, gapMs: number): Promise<void> {
  const body = Buffer.from(JSON.stringify([{ Key: 'config', Value: Buffer.from(value).toString('base64'), ModifyIndex: 1 }]))
  const size = Math.ceil(body.length / parts)
  const send = async (write: (part: Buffer) => void, end: () => void): Promise<void> => {
    for (let n = 0; n < sent; n++) {
      write(body.subarray(n * size, (n + 1) * size))
      await pause(gapMs)
    }
    if (sent === parts) end()
  }
  world.slowKv = createServer((_, res) => {
    res.writeHead(200, { 'x-consul-index': '1' })
    send(part => res.write(part), () => res.end()).catch(() => res.destroy())
  })
  await new Promise<void>(resolve => world.slowKv!.listen(0, '127.0.0.1', resolve))
}

After(function (this: SlowKvWorld) {
  this.slowKv?.closeAllConnections()
  this.slowKv?.close()
})

Given('a key-value service that sends a value in {int} parts, {int} ms apart', async function (this: SlowKvWorld, parts: number, gapMs: number) { await startService(this, parts, parts, gapMs) })

Given('a key-value service that stops after {int} of {int} parts', async function (this: SlowKvWorld, sent: number, parts: number) { await startService(this, parts, sent, 0) })

When('a client with a time limit of {int} ms reads the value', async function (this: SlowKvWorld, timeout: number) {
  const { port } = this.slowKv!.address() as AddressInfo
  const startedAt = performance.now()
  this.read = await createKvClient(`http://127.0.0.1:${port}`, timeout).read('config')
  this.tookMs = performance.now() - startedAt
})

Then('it receives the whole value', function (this: SlowKvWorld) { assert.equal(this.read.isOk() && this.read.value.entry?.value, value) })

Then('the read fails within {int} ms', function (this: SlowKvWorld, ms: number) {
  assert.ok(this.read.isErr())
  assert.ok(this.tookMs < ms, `${this.tookMs} ms`)
})
