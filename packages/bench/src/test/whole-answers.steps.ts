/**
 * Failure tests of whole answers.
 */
import assert from 'node:assert/strict'
import { connect, type Socket } from 'node:net'
import { Then, When } from '@cucumber/cucumber'
import { waitUntil } from './support/local-system.js'
import type { SystemWorld } from './support/world.js'

interface CutWorld extends SystemWorld { welcomes: number }

interface SlowWorld extends SystemWorld { socket: Socket }

/** Opens a raw socket with a request, so that the test controls when to read. */
function openRaw (world: SystemWorld, tokens: number): Socket {
  const body = JSON.stringify({ model: 'a@1', prompt: 'x'.repeat(10), max_tokens: tokens, stream: true })
  const socket = connect(world.system.entries[0]!.server.port, '127.0.0.1')
  socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  return socket
}

Then('the caller sees that the answer is broken', function (this: SystemWorld) {
  const result = this.results.at(-1)!
  assert.equal(result.whole, false)
})

When('the channels are cut', function (this: CutWorld) {
  this.welcomes = this.system.entries[0]!.entry.directory.channel('m0')!.welcomes
  for (const { entry } of this.system.entries) entry.directory.cutChannels()
})

When('the channels are cut again once they are reconnected', async function (this: CutWorld) {
  const { entry } = this.system.entries[0]!
  await waitUntil('the channel is reconnected', () => (entry.directory.channel('m0')?.welcomes ?? 0) > this.welcomes)
  this.system.sidecars.get('m0')!.cutChannels()
})

When('a caller requests a long answer and does not read it', async function (this: SlowWorld) {
  this.socket = openRaw(this, 60_000)
  this.socket.pause()
})

/** An engine needs a turn of the event loop for each token, and turns are slow on a busy host. */
const producedWithinMs = 30_000

Then('the sidecar applies back pressure to its stream', { timeout: 3 * producedWithinMs }, async function (this: SlowWorld) {
  const engine = this.system.engines[0]!
  // The engine goes on decoding; the test checks that neither process buffers the whole answer.
  await waitUntil('the engine has produced a lot', () => engine.fill.tokens > 2_000, producedWithinMs)
  const before = process.memoryUsage().rss
  await waitUntil('the engine has produced more', () => engine.fill.tokens > 4_000, producedWithinMs)
  assert.ok(process.memoryUsage().rss - before < 64 << 20, 'memory grows with an unread answer')
  this.socket.destroy()
})

When('a caller disconnects in the middle of {int} tokens', async function (this: SlowWorld, tokens: number) {
  this.socket = openRaw(this, tokens)
  await waitUntil('the engine runs it', () => this.system.engines[0]!.running() === 1)
  this.socket.destroy()
})

Then('the engine stops running its request', async function (this: SystemWorld) {
  await waitUntil('the engine is idle', () => this.system.engines[0]!.running() === 0, 1_500)
})

Then('its adapter slot is no longer pinned', async function (this: SystemWorld) {
  await waitUntil('no pins are left', () => this.system.sidecars.get('m0')!.status().report.adapters.every(({ pins }) => pins === 0))
})
