/**
 * Steps that ask small servers in place of entries.
 */
import assert from 'node:assert/strict'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Given, Then, When } from '@cucumber/cucumber'
import type { EntryAddress, OperatorView, OrganisationView, UpstreamView } from '@hazelford/core'
import { exitCodes, type Report } from '../lib/exit-code.js'
import { organisations } from '../lib/queries/organisation-report.js'
import { upstreamRows, upstreams } from '../lib/queries/upstream-report.js'

const loopback = '127.0.0.1'
const closedAddress = `${loopback}:1`

interface EntryWorld { servers: Map<string, Server>, shown: Report }

const engine: UpstreamView = { upstream: 'i-1', service: 'llm', zone: 'a', state: 'ready', holder: 'e1', fence: 7, running: 20, slots: 32, promptBacklog: 900, speed: 0.4, loadAge: 0, ejected: false, outstanding: 3 }
const older: UpstreamView = { ...engine, fence: 5, holder: 'e9', running: 4, promptBacklog: 10, speed: 1, loadAge: 800, ejected: true, outstanding: 2 }

function viewOf (node: string, entries: readonly EntryAddress[], part: Partial<OperatorView>): OperatorView {
  return { node, entries, viewAge: 10, window: 10_000, upstreams: [], organisations: [], omitted: { upstreams: 0, organisations: 0 }, ...part }
}

/** Serves the views of entries that know each other; one without a view does not answer. */
async function serveEntries (world: EntryWorld, parts: Readonly<Record<string, Partial<OperatorView> | undefined>>): Promise<void> {
  world.servers = new Map()
  const addresses: EntryAddress[] = []
  for (const [node, part] of Object.entries(parts)) {
    const server = createServer((_req, res) => part === undefined ? res.writeHead(503).end() : res.end(JSON.stringify(viewOf(node, addresses, part))))
    await new Promise<void>(resolve => { server.listen(0, loopback, resolve) })
    world.servers.set(node, server)
    addresses.push({ node, host: loopback, port: (server.address() as AddressInfo).port })
  }
}

function addressOf ({ servers }: EntryWorld, node: string): string { return `${loopback}:${(servers.get(node)!.address() as AddressInfo).port}` }

After(function (this: Partial<EntryWorld>) {
  for (const server of this.servers?.values() ?? []) {
    server.close()
    server.closeAllConnections()
  }
})

Given('entry "e1" holds engine "i-1" and knows entry "e2", which knows it by an older load', async function (this: EntryWorld) {
  await serveEntries(this, { e1: { upstreams: [engine] }, e2: { upstreams: [older] } })
})

Given('entry "e1" holds engine "i-1" and knows entry "e2", which does not answer', async function (this: EntryWorld) {
  await serveEntries(this, { e1: { upstreams: [engine] }, e2: undefined })
})

Given('entry "e1" holds engine "i-1" and knows entry "e2", which ends its answers without a length too early', async function (this: EntryWorld) {
  await serveEntries(this, { e1: { upstreams: [engine] }, e2: { upstreams: [older] } })
  this.servers.get('e2')!.removeAllListeners('request').on('request', (req: IncomingMessage) => {
    const body = JSON.stringify(viewOf('e2', [], { upstreams: [older] }))
    req.socket.end(`HTTP/1.1 200 OK\r\n\r\n${body.slice(0, -1)}`)
  })
})

Given('entries "e1" and "e2" with requests of organisation "north"', async function (this: EntryWorld) {
  const north: OrganisationView = { organisation: 'north', limit: { unit: 'tokens', rate: 5_000, burst: 900 }, admitted: 30_000, refused: 700, ends: { delivered: 9, 'over-limit': 1 } }
  await serveEntries(this, { e1: { organisations: [north] }, e2: { organisations: [{ ...north, ends: { delivered: 8, 'adapter-unavailable': 4 } }] } })
})

When('an operator asks for the upstreams at {string}', async function (this: EntryWorld, node: string) { this.shown = await upstreams([addressOf(this, node)]) })

When('an operator asks for the organisations at {string}', async function (this: EntryWorld, node: string) { this.shown = await organisations([addressOf(this, node)]) })

When('an operator asks for the upstreams at an address where nothing listens, and at {string}', async function (this: EntryWorld, node: string) {
  this.shown = await upstreams([closedAddress, addressOf(this, node)])
})

When('an operator asks for the upstreams at an address where nothing listens', async function (this: EntryWorld) { this.shown = await upstreams([closedAddress]) })

Then('"i-1" has the load, the fence and the speed that "e1" counted, and the open requests of both', function (this: EntryWorld) {
  assert.equal(this.shown.code, exitCodes.done)
  assert.match(this.shown.text, /i-1 +llm +a +ready +e1 +7 +20\/32 +900 +0\.4 +0 +5 +1\/2/)
})

Then('the output names "e2" and why it gives no answer', function (this: EntryWorld) {
  assert.match(this.shown.text, /i-1 .* 1?0\/1/)
  assert.match(this.shown.text, /e2 +answered 503/)
})

Then('the output names "e2" as one whose answer can\'t be read', function (this: EntryWorld) {
  assert.match(this.shown.text, /i-1 .* 1?0\/1/)
  assert.match(this.shown.text, /e2 .*JSON/)
})

Then('an upstream that one of two entries lists as draining is shown as draining', () => {
  const rows = upstreamRows([viewOf('e1', [], { upstreams: [engine] }), viewOf('e2', [], { upstreams: [{ ...older, state: 'draining' }] })])
  assert.equal(rows[0]?.state, 'draining')
})

Then('the row of "north" has its limit, the sum of its units and its refusals by cause', function (this: EntryWorld) {
  assert.match(this.shown.text, /north +5000 \+ 900 tokens +6000\.0 +1400 +17 +adapter-unavailable 4, over-limit 1/)
})

Then('the command ends with the code for an unreachable platform', function (this: EntryWorld) { assert.equal(this.shown.code, exitCodes.unavailable) })
