/**
 * Steps on a key-value service whose answers are cut short, or none.
 */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { type AddressInfo, createServer, type Server } from 'node:net'
import { After, Then, When } from '@cucumber/cucumber'
import { createKvClient, type KvClient } from '../lib/kv-client.js'

interface CutWorld { cutKv?: Server, outcome: string }

/** A table gives `\n` as a line feed, and leaves `\r`. */
async function startService (world: CutWorld, head: string, answer: string): Promise<KvClient> {
  world.cutKv = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(`${head.replaceAll('\\r', '\r')}\r\n\r\n${answer}`))
  })
  world.cutKv.listen(0, '127.0.0.1')
  await once(world.cutKv, 'listening')
  return createKvClient(`http://127.0.0.1:${(world.cutKv.address() as AddressInfo).port}`)
}

When('a write is answered with {string} after the head {string}', async function (this: CutWorld, answer: string, head: string) {
  const kv = await startService(this, head, answer)
  this.outcome = (await kv.cas('config', 1, 'x')).match(outcome => outcome, ({ kind }) => kind)
})

When('a list is answered with {string} after the head {string}', async function (this: CutWorld, answer: string, head: string) {
  const kv = await startService(this, head, answer)
  this.outcome = (await kv.list('config')).match(entries => String(entries.length), ({ kind }) => kind)
})

Then('its outcome is {string}', function (this: CutWorld, outcome: string) { assert.equal(this.outcome, outcome) })

After(function (this: CutWorld) { this.cutKv?.close() })
