/**
 * Steps on the server of callers.
 */
import assert from 'node:assert/strict'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import { BodyMemory } from '../lib/relay/body-memory.js'
import { CallerServer, type DropCause } from '../lib/relay/caller-server.js'

interface ServerWorld { server: CallerServer, socket: Socket, dropped: Array<{ cause: DropCause, headers: readonly string[] }> }

Given('a caller that reads nothing of an answer of {int} bytes', async function (this: ServerWorld, bytes: number) {
  this.dropped = []
  await new Promise<void>((resolve, reject) => {
    this.server = new CallerServer({
      clock: systemClock,
      maxBodyBytes: () => 1_000,
      bodyMemory: new BodyMemory(1_000),
      bodyRefused: () => {},
      bodyTimeout: () => 1_000,
      closing: () => true,
      handle: ({ answer }) => {
        answer.whole({ status: 200, message: 'OK', headers: [], body: Buffer.alloc(bytes), framed: true })
        resolve()
      },
      dropped: (cause, headers) => { this.dropped.push({ cause, headers }) }
    })
    this.server.listen('127.0.0.1', 0).then(() => {
      this.socket = connect((this.server.server.address() as AddressInfo).port, '127.0.0.1')
      this.socket.pause()
      this.socket.write('GET / HTTP/1.1\r\nHost: h\r\nX-Request: slow\r\n\r\n')
    }, reject)
  })
})

When('the server of callers is closed', function (this: ServerWorld) { this.server.close() })

Then('the request is reported as dropped, since its connection closes', function (this: ServerWorld) {
  assert.deepEqual(this.dropped, [{ cause: 'connection-closed', headers: ['Host', 'h', 'X-Request', 'slow'] }])
})

After(function (this: ServerWorld) {
  if (this.socket === undefined || this.server === undefined) return
  this.socket.destroy()
  this.server.server.closeAllConnections?.()
})
