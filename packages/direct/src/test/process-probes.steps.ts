/**
 * Steps on probes of the processes of upstreams.
 */
import assert from 'node:assert/strict'
import { fork } from 'node:child_process'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { systemClock } from '@hazelford/core'
import { ProcessProbes } from '../lib/relay/process-probes.js'

interface ProbeWorld {
  upstreamServer?: Server
  port: number
  /** Connections that the upstream got. */
  accepted: number
  results: readonly boolean[]
}

const loopback = '127.0.0.1'
const killsTimeoutMs = 30_000

function open (port: number): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, loopback, () => resolve(socket))
    socket.once('error', reject)
  })
}

/** Starts an upstream process, and ends with it when it has been killed within an answer; returns whether it counts as running then. */
async function isRunningAfterKill (others: number): Promise<boolean> {
  const child = fork(new URL('support/killed-upstream.js', import.meta.url))
  const sockets: Socket[] = []
  try {
    const port = await new Promise<number>(resolve => child.once('message', message => resolve(message as number)))
    for (let n = 0; n <= others; n++) {
      const socket = await open(port)
      socket.on('error', () => {})
      sockets.push(socket)
    }
    const answered = sockets.at(-1)!
    const ended = new Promise<void>(resolve => { answered.once('close', () => resolve()).once('end', resolve) })
    answered.resume()
    answered.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    await ended
    return await new ProcessProbes(systemClock).isRunning(loopback, port)
  } finally {
    child.kill('SIGKILL')
    for (const socket of sockets) socket.destroy()
  }
}

When('{int} upstream processes with {int} other connections each are killed in turn within an answer, and probed at the end of its connection', { timeout: killsTimeoutMs }, async function (this: ProbeWorld, processes: number, others: number) {
  const results: boolean[] = []
  for (let n = 0; n < processes; n++) results.push(await isRunningAfterKill(others))
  this.results = results
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

Then('each of them counts as not running', function (this: ProbeWorld) { assert.deepEqual(this.results, this.results.map(() => false)) })

Then(/^it counts as (running|not running) each time, and got at most (\d+) connections$/, function (this: ProbeWorld, result: string, most: string) {
  assert.ok(this.results.every(isRunning => isRunning === (result === 'running')), String(this.results.filter(Boolean).length))
  assert.ok(this.accepted <= Number(most), `${this.accepted} connections`)
})

After(function (this: Partial<ProbeWorld>) {
  this.upstreamServer?.close()
})
