/**
 * Failure tests of the distribution of the configuration to every process.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import type { ConfigDocument } from '@hazelford/core'
import { type ConfigState, configKey, nextDocument, readDocument } from '@hazelford/config'
import { createKvClient } from '@hazelford/consul'
import { complete } from '../lib/callers.js'
import { waitUntil } from './support/local-system.js'
import { expectedText, type SystemWorld } from './support/world.js'

interface ConfigWorld extends SystemWorld { first: ConfigDocument, appliedAt: number }

/** Long enough for several heartbeats and watches that could bring an old document. */
const observationMs = 400

function states (world: SystemWorld): readonly ConfigState[] {
  return [...world.system.entries.map(({ entry }) => entry.config), ...[...world.system.sidecars.values()].map(sidecar => sidecar.config)]
}

Given('an old copy of the key-value service is kept', function (this: SystemWorld) { this.system.kv.takeSnapshot() })

When('the next watches of all entries hang at the key-value service', async function (this: SystemWorld) {
  const { kv } = this.system
  kv.faults.blackHole = true
  // Any change ends the waiting watches; those sent after it hang.
  kv.takeSnapshot()
  kv.restoreSnapshot()
  await new Promise(resolve => setTimeout(resolve, observationMs))
  kv.faults.blackHole = false
})

When('the operators apply a change', async function (this: ConfigWorld) {
  this.first = states(this)[0]!.document!
  this.system.version = '3'
  await this.system.applyConfig()
  this.appliedAt = performance.now()
})

Then('it is in force everywhere within {int} ms', async function (this: ConfigWorld, limit: number) {
  await this.system.inForce(this.system.revision)
  const took = performance.now() - this.appliedAt
  assert.ok(took < limit, `${took} ms`)
})

When('the key-value service answers from the old copy', function (this: SystemWorld) {
  this.system.kv.faults.staleReads = true
})

When('the key-value service is restored from the old copy', function (this: SystemWorld) {
  this.system.kv.restoreSnapshot()
})

Then('the store has the newest revision again', async function (this: SystemWorld) {
  await waitUntil('the store is up to date', () => readDocument(this.system.kv.peek(configKey) ?? '')?.revision === this.system.revision)
})

Then('no process goes back to an older revision', async function (this: SystemWorld) {
  const end = performance.now() + observationMs
  await waitUntil('time has passed', () => {
    for (const state of states(this)) assert.equal(state.revision, this.system.revision)
    return performance.now() > end
  })
})

When('another entry starts', async function (this: SystemWorld) { await this.system.startEntry() })

Then('it gets the configuration from its peers and answers requests', async function (this: SystemWorld) {
  const { entry, url } = this.system.entries.at(-1)!
  await waitUntil('it has the configuration', () => entry.config.revision === this.system.revision)
  await this.system.ready()
  const result = await complete(url, 'a@1', 'p', 3, true)
  assert.equal(result.text, expectedText('a@1', 3))
})

When('a peer sends the first revision to every process', async function (this: ConfigWorld) {
  await this.system.inForce(this.system.revision)
  for (const state of states(this)) assert.equal(state.offer(this.first, 'peer'), false)
})

When('a document with a text that does not match its digest is stored', async function (this: SystemWorld) {
  const kv = createKvClient(this.system.kv.url)
  const read = await kv.read(configKey)
  assert.ok(read.isOk())
  const good = nextDocument(this.system.revision, this.system.configText(), 'test', 0)
  const damaged = { ...good, text: good.text.slice(0, -20) }
  await kv.cas(configKey, read.value.entry!.modifyIndex, JSON.stringify(damaged))
})

Then('the next change is in force everywhere', async function (this: SystemWorld) {
  this.system.version = '3'
  await this.system.inForce(await this.system.applyConfig())
})

When('the sidecar of "m0" is replaced', async function (this: SystemWorld) {
  this.system.sidecars.get('m0')!.stop()
  await this.system.startSidecar('m0')
  await waitUntil('the entry has connected to it', () => this.system.entries[0]!.entry.directory.view('m0')?.state === 'cold')
})

Then('it stays cold and requests are answered by "m1"', async function (this: SystemWorld) {
  for (let i = 0; i < 5; i++) {
    const result = await complete(this.system.url, 'a@1', `p${i}`, 3, true)
    assert.equal(result.text, expectedText('a@1', 3))
  }
  assert.equal(this.system.sidecars.get('m0')!.state, 'cold')
  assert.equal(this.system.engines[0]!.runs.length, 0)
})

Then('the sidecar of "m0" serves again', async function (this: SystemWorld) {
  await waitUntil('it serves', () => this.system.sidecars.get('m0')!.state === 'serving')
})
