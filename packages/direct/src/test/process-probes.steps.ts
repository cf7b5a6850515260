/**
 * Steps on probes of the processes of upstreams.
 */
import assert from 'node:assert/strict'
import { type ChildProcess, fork } from 'node:child_process'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import { ProcessProbes } from '../lib/relay/process-probes.js'

interface ProbeWorld {
  upstreamProcess?: ChildProcess
  upstreamServer?: Server
  openSockets: Socket[]
  port: number
  /** Connections that the upstream got. */
  accepted: number
  results: readonly boolean[]
}

const loopback = '127.0.0.1'

function open (port: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, loopback, () => resolve(socket))
    socket.once('error', reject)
  })
}

Given('an upstream process to which {int} other connections are open', async function (this: ProbeWorld, others: number) {
  const child = fork(new URL('support/killed-upstream.js', import.meta.url))
  this.upstreamProcess = child
  this.port = await new Promise<number>(resolve => child.once('message', port => resolve(port as number)))
  this.openSockets = []
  for (let n = 0; n < others; n++) {
    const socket = await open(this.port)
    socket.on('error', () => {})
    this.openSockets.push(socket)
  }
})

When('it is killed within an answer, and is probed at the end of the answer\'s connection', async function (this: ProbeWorld) {
  const socket = await open(this.port)
  this.openSockets.push(socket)
  const ended = new Promise<void>(resolve => {
    socket.once('end', resolve)
    socket.once('error', () => resolve())
  })
  socket.resume()
  socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await ended
  this.results = [await new ProcessProbes(systemClock).isRunning(loopback, this.port)]
})

Given(/^an upstream that (runs|resets the connections that it opens|listens no more)$/, async function (this: ProbeWorld, what: string) {
  this.accepted = 0
  const server = createServer(socket => {
    this.accepted++
    socket.on('error', () => {})
    if (what.startsWith('resets')) socket.resetAndDestroy()
  })
  this.upstreamServer = server
  await new Promise<void>(resolve => server.listen(0, loopback, resolve))
  this.port = (server.address() as AddressInfo).port
  if (what === 'listens no more') await new Promise(resolve => server.close(resolve))
})

When('it is probed {int} times at once', async function (this: ProbeWorld, times: number) {
  const probes = new ProcessProbes(systemClock)
  this.results = await Promise.all(Array.from({ length: times }, () => probes.isRunning(loopback, this.port)))
})

Then('it counts as not running', function (this: ProbeWorld) { assert.deepEqual(this.results, [false]) })

Then(/^it counts as (running|not running) each time, and got at most (\d+) connections$/, function (this: ProbeWorld, result: string, most: string) {
  assert.ok(this.results.every(isRunning => isRunning === (result === 'running')), String(this.results.filter(Boolean).length))
  assert.ok(this.accepted <= Number(most), `${this.accepted} connections`)
})

After(function (this: Partial<ProbeWorld>) {
  this.upstreamProcess?.kill('SIGKILL')
  this.upstreamServer?.close()
  for (const socket of this.openSockets ?? []) socket.destroy()
})
