/**
 * Checks messages between entries.
 */
import assert from 'node:assert/strict'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { After, Then, When } from '@cucumber/cucumber'
import { FakeClock } from '@hazelford/core'
import { SharedRetryBudget } from '@hazelford/decisions'
import type { StoreItem } from '@hazelford/ports'
import type { FeedAnswer } from '../lib/store/change-feed.js'
import { PeerClient } from '../lib/peers/peer-client.js'
import { peerPaths } from '../lib/peers/peer-messages.js'
import type { PeerState } from '../lib/peers/peer-state.js'
import { entryKey, PeerTable } from '../lib/peers/peer-table.js'
import { type PeerService, servePeers } from '../lib/peers/serve-peers.js'
import { SlowLink } from './support/slow-link.js'

const loopback = '127.0.0.1'
/** How long an entry that follows the change feed of another waits for changes. */
const feedWaitMs = 400
const bitsPerByte = 8

interface PeersWorld { clock: FakeClock, tables: readonly PeerTable[], peerServer?: Server, slowLink?: SlowLink, peerClient?: PeerClient, answers: readonly FeedAnswer[], config: string, body: unknown, isAccepted: boolean, isCalled: boolean }

/** A configuration as large and as varied as those of operators. */
function largeConfig (routes: number): string {
  return JSON.stringify({
    version: 3,
    routes: Array.from({ length: routes }, (_, n) => ({ name: `route-${n}`, host: `host-${n * 7919 % 997}.example`, pathPrefix: `/team-${n * 104729 % 8191}/service-${n}/`, kind: 'read-only', targets: [{ service: `service-${n % 11}`, weight: 100 }], timeout: 3_000 + n % 7, latencyTarget: 200, priority: n % 3, maxAttempts: 2, resumable: false, public: false, gapTarget: 300 }))
  })
}

async function serve (world: PeersWorld, service: Partial<PeerService>): Promise<number> {
  world.peerServer = await servePeers(service as PeerService, loopback, 0)
  return (world.peerServer.address() as AddressInfo).port
}

After(function (this: PeersWorld) {
  this.peerClient?.close()
  this.slowLink?.stop()
  this.peerServer?.closeAllConnections()
  this.peerServer?.close()
})

When('{int} entries ask one entry for changes, over its link of {int} Mbit\\/s, and a configuration of {int} routes is among them', async function (this: PeersWorld, entries: number, megabits: number, routes: number) {
  this.config = largeConfig(routes)
  const event = { kind: 'put', item: { key: 'config', value: this.config, revision: 2 } } as const
  const port = await serve(this, { changes: async () => ({ kind: 'changes', events: [event], revision: 2, era: 0, age: 0, viewAge: 0 }) })
  this.slowLink = new SlowLink(port, megabits * 1e6 / bitsPerByte)
  await this.slowLink.listen()
  this.peerClient = new PeerClient()
  const peer = { node: 'watcher', host: loopback, port: this.slowLink.port }
  this.answers = await Promise.all(Array.from({ length: entries }, () => this.peerClient!.changes(peer, 1, feedWaitMs)))
})

Then('each receives the configuration', function (this: PeersWorld) {
  for (const answer of this.answers) {
    assert.ok(answer.kind === 'changes')
    const [event] = answer.events
    assert.equal(event?.kind === 'put' && event.item.value, this.config)
  }
})

When('an entry of a version that knows no compression asks for a large state', async function (this: PeersWorld) {
  this.config = largeConfig(1_000)
  const port = await serve(this, { state: () => ({ config: this.config }) as unknown as PeerState })
  const res = await fetch(`http://${loopback}:${port}${peerPaths.state}`, { headers: { 'accept-encoding': 'identity' } })
  assert.equal(res.headers.get('content-encoding'), null)
  this.body = await res.json()
})

Then('it receives the answer uncompressed', function (this: PeersWorld) { assert.deepEqual(this.body, { config: this.config }) })

When('a notice of an upstream is sent to an entry that knows none of the paths', async function (this: PeersWorld) {
  this.peerServer = createServer((_, res) => res.writeHead(404).end())
  await new Promise<void>(resolve => this.peerServer!.listen(0, loopback, resolve))
  this.peerClient = new PeerClient()
  const { port } = this.peerServer.address() as AddressInfo
  this.isAccepted = await this.peerClient.sendNotices({ node: 'older', host: loopback, port }, { notices: [] }).then(() => true, () => false)
})

Then('the notice counts as not delivered', function (this: PeersWorld) { assert.equal(this.isAccepted, false) })

When('an entry that has stopped requests another entry\'s state', async function (this: PeersWorld) {
  this.isCalled = false
  const port = await serve(this, {
    state: () => {
      this.isCalled = true
      return undefined
    }
  })
  this.peerClient = new PeerClient()
  this.peerClient.close()
  await assert.rejects(this.peerClient.state({ host: loopback, port }))
})

Then('the other entry gets no call', function (this: PeersWorld) { assert.equal(this.isCalled, false) })

function registrationOf (n: number): StoreItem {
  const node = `entry-${n}`
  return { key: entryKey(node), value: JSON.stringify({ node, host: loopback, port: n + 1 }), revision: n + 1 }
}

When('{int} entries that know each other each list only themselves for {int} ms', function (this: PeersWorld, entries: number, ms: number) {
  this.clock = new FakeClock()
  this.tables = Array.from({ length: entries }, () => new PeerTable(this.clock, () => {}))
  const all = Array.from({ length: entries }, (_, n) => registrationOf(n))
  for (const table of this.tables) table.reset(all)
  this.clock.advance(1_000)
  this.tables.forEach((table, n) => table.reset([registrationOf(n)]))
  this.clock.advance(ms)
})

Then('their retries keep within a slack of {int} in every {int} s', function (this: PeersWorld, slack: number, seconds: number) {
  let retries = 0
  for (const { entryCount } of this.tables) {
    const budget = new SharedRetryBudget({ ratio: 0, slack, window: seconds * 1_000 })
    while (budget.takeRetry(this.clock.now(), entryCount)) retries++
  }
  assert.ok(retries > 0 && retries <= slack, `${retries} retries`)
})

Then('each counts only itself', function (this: PeersWorld) {
  assert.deepEqual(this.tables.map(({ entryCount }) => entryCount), this.tables.map(() => 1))
})
