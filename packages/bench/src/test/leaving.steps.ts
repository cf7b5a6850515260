/**
 * Failure tests of draining, leaving and shutting down under load.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { nextDocument } from '@hazelford/config'
import { book, type CallerResult, complete } from '../lib/callers.js'
import { waitUntil } from './support/local-system.js'
import type { SystemWorld } from './support/world.js'

interface TrafficWorld extends SystemWorld { runsWhenUnavailable: number, longResults?: readonly CallerResult[] }

const requestCount = 240
const eventAfter = 60
const gapMs = 4
const models = ['a@1', 'b@1', 'c@1']
/** Enough requests for some of them to run at each engine, and tokens for them to run when the sidecar starts to shut down. */
const longRequestCount = 12
const longRequestTokens = 150

/** Sends requests at a steady rate and runs an event in the middle. */
async function sendDuring (world: TrafficWorld, entries: () => readonly string[], event: () => Promise<void>): Promise<void> {
  const sent: Promise<CallerResult>[] = []
  let eventDone: Promise<void> | undefined
  for (let i = 0; i < requestCount; i++) {
    if (i === eventAfter) eventDone = event()
    const urls = entries()
    const url = urls[i % urls.length]!
    sent.push(i % 3 === 2 ? book(url, `t${i}`) : complete(url, models[i % models.length]!, `p${i}`, 8, i % 2 === 0))
    await new Promise(resolve => { setTimeout(resolve, gapMs) })
  }
  world.results = await Promise.all(sent)
  await eventDone
}

const everyEntry = (world: SystemWorld) => () => world.system.entries.map(({ url }) => url)

function recordRuns (world: TrafficWorld): void { world.runsWhenUnavailable = world.system.engines[0]!.runs.length }

async function shutDownSidecar (world: TrafficWorld): Promise<void> {
  await world.system.sidecars.get('m0')!.shutdown()
  recordRuns(world)
}

/** Shuts an entry down as behind a load balancer: no new callers arrive once it is not ready. */
async function shutDownEntry (world: SystemWorld): Promise<void> {
  const { entry, server } = world.system.entries[0]!
  await entry.shutdown()
  await server.close()
}

Given('the host list lags', function (this: SystemWorld) { this.system.hostList.lag = true })

/** Starts requests that outlast the beginning of a shutdown, and waits until some of them run at "m0". */
async function startLongRequests ({ system }: SystemWorld): Promise<ReadonlyArray<Promise<CallerResult>>> {
  const running = system.engines[0]!.running()
  const sent = Array.from({ length: longRequestCount }, (_, i) => complete(system.entries[i % system.entries.length]!.url, models[i % models.length]!, `long${i}`, longRequestTokens, true))
  await waitUntil('further requests run at m0', () => system.engines[0]!.running() > running)
  return sent
}

When('requests are sent while the sidecar of "m0" shuts down', async function (this: TrafficWorld) {
  await sendDuring(this, everyEntry(this), async () => {
    const long = await startLongRequests(this)
    await shutDownSidecar(this)
    this.longResults = await Promise.all(long)
  })
})

When('requests are sent while the operators drain "m0"', async function (this: TrafficWorld) {
  await sendDuring(this, everyEntry(this), async () => {
    this.system.drained = ['m0']
    await this.system.inForce(await this.system.applyConfig())
    await waitUntil('m0 is idle', () => this.system.sidecars.get('m0')!.openRequests === 0)
    recordRuns(this)
  })
})

When('the operators drain "b0" and undrain it', async function (this: SystemWorld) {
  for (const drained of [['b0'], []]) {
    this.system.drained = drained
    await this.system.inForce(await this.system.applyConfig())
    const accepts = (): boolean => this.system.entries[0]!.entry.directory.view('b0')!.accepts(performance.now())
    await waitUntil('the entry sees the drain', () => accepts() === (drained.length === 0))
  }
})

When('requests are sent while the host list shows "m0" leaving', async function (this: TrafficWorld) {
  await sendDuring(this, everyEntry(this), async () => {
    this.system.hostList.put({ name: 'sidecar-m0', role: 'sidecar', zone: 'z1', port: this.system.sidecarPort('m0'), operatorPort: 0, leaving: true })
    await waitUntil('entries see that it leaves', () => this.system.entries.every(({ entry }) => entry.directory.view('m0')!.excluded))
    await waitUntil('m0 is idle', () => this.system.sidecars.get('m0')!.openRequests === 0)
    recordRuns(this)
  })
})

When('requests are sent while an entry shuts down', async function (this: TrafficWorld) {
  const ready = (): readonly string[] => this.system.entries.filter(({ entry }) => entry.ready).map(({ url }) => url)
  await sendDuring(this, ready, () => shutDownEntry(this))
})

When('requests are sent while an entry and the sidecar of "m0" shut down', async function (this: TrafficWorld) {
  const ready = (): readonly string[] => this.system.entries.filter(({ entry }) => entry.ready).map(({ url }) => url)
  await sendDuring(this, ready, async () => { await Promise.all([shutDownEntry(this), shutDownSidecar(this)]) })
})

When('a sidecar is drained without its entry\'s knowledge and bookings are sent', async function (this: SystemWorld) {
  const { entry } = this.system.entries[0]!
  // The entry's view of the sidecar is frozen, as if its channel lagged.
  const view = entry.directory.view('b0')!
  view.update = () => {}
  Object.defineProperty(view, 'barred', { get: () => false, set: () => {} })
  const sidecar = this.system.sidecars.get('b0')!
  const text = this.system.configText().replace('drained = []', 'drained = ["b0"]')
  sidecar.config.offer(nextDocument(this.system.revision, text, 'test', 0), 'test')
  const sent = Array.from({ length: 20 }, (_, i) => book(this.system.url, `t${i}`))
  this.results = await Promise.all(sent)
})

Then('every booking is confirmed and none runs at the drained service', function (this: SystemWorld) {
  for (const result of this.results) assert.equal(result.status, 201, result.code)
  assert.equal(this.system.plains[0]!.bookings.size, 0)
})

Then('every request is answered whole', function (this: TrafficWorld) {
  assert.equal(this.results.length, requestCount)
  for (const result of [...this.results, ...this.longResults ?? []]) {
    assert.ok(result.whole && (result.status === 200 || result.status === 201), `${result.token} ${result.model}: ${result.status} ${result.verdict} ${result.code}`)
  }
  for (const plain of this.system.plains) {
    for (const [token, runs] of plain.bookings) assert.equal(runs, 1, token)
  }
})

Then('upstream "m0" gets no new work after that', function (this: TrafficWorld) {
  assert.ok(this.runsWhenUnavailable > 0, 'it had work before')
  assert.equal(this.system.engines[0]!.runs.length, this.runsWhenUnavailable)
})
