/**
 * Steps on requests that wait before they are relayed.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { silentLog, systemClock } from '@hazelford/core'
import { RouteTable } from '@hazelford/decisions'
import { EntryMetrics } from '../lib/metrics.js'
import { type EntryError, statusOf } from '../lib/relay/caller-answer.js'
import type { IncomingRequest } from '../lib/relay/caller-server.js'
import { RelayRunner, type RelayRunnerOptions } from '../lib/relay/relay-runner.js'
import { type AdmittedCall, refuseStopping, RequestIntake, type RequestIntakeOptions } from '../lib/relay/request-intake.js'
import { type WaitCause, WaitingRequests } from '../lib/relay/waiting-requests.js'

interface WaitWorld { waiting: WaitingRequests, failures: EntryError[], endWait: () => void, failWait: () => void, relayed: number, refunds: number }

const metrics = new EntryMetrics()
const route = { name: 'r', host: 'h', pathPrefix: '/', kind: 'stream', resumable: true, timeout: 5_000, targets: [{ service: 's', weight: 1 }], public: false, priority: 1 }
const organisation = { name: 'o', keys: ['k'], routes: undefined, limit: { unit: 'requests', rate: 1, burst: 1 } }

function incomingOf (world: WaitWorld): IncomingRequest {
  const answer = {
    get ended () { return world.failures.length > 0 },
    fail: (error: EntryError) => { world.failures.push(error) },
    break: () => assert.fail('cut')
  }
  return { method: 'GET', host: 'h', target: '/', headers: [], body: undefined, arrivedAt: systemClock.now(), answer, isGone: () => false, onGone: () => {} } as unknown as IncomingRequest
}

/** Sends a request to an intake whose configuration or credit comes when the wait ends. */
function handle (world: WaitWorld, cause: 'usage' | 'configuration', ended: Promise<void>): void {
  const table = { config: { access: { kind: 'by-key' } }, match: () => route, organisationOf: () => organisation, version: 1 } as unknown as RouteTable
  const intake = new RequestIntake({
    clock: systemClock,
    log: silentLog,
    metrics,
    codec: { readCredential: () => ({ kind: 'key', digest: 'd' }), readCall: () => ({ isOk: () => true, isErr: () => false, value: { id: 'q', promptParts: [], declaresTokens: false } }) },
    table: () => table,
    refusing: () => false,
    verifier: { isFresh: cause === 'usage', refresh: () => {}, verify: () => ended },
    waiting: world.waiting,
    viewAge: () => 0,
    applyWithin: () => 1,
    admit: async () => {
      if (cause === 'usage') await ended
      return { kind: 'admitted', refund: () => { world.refunds++ } }
    },
    organisationEnded: () => {},
    relay: () => { world.relayed++ }
  } as unknown as RequestIntakeOptions)
  intake.handle(incomingOf(world))
}

/** Relays a request that resumes a stream, whose origin is found when the wait ends. */
function resume (world: WaitWorld, ended: Promise<void>): void {
  const runner = new RelayRunner({ clock: systemClock, log: silentLog, metrics, waiting: world.waiting, origins: { find: async () => await ended.then(() => undefined) }, upstreams: () => 0, onlySoftware: async () => undefined, placer: { count: () => { world.relayed++ } } } as unknown as RelayRunnerOptions)
  runner.run({ incoming: incomingOf(world), call: { facts: { id: 'q', resumes: 'p' }, arrivedAt: 0 }, route, service: 's', refund: () => { world.refunds++ } } as unknown as AdmittedCall)
}

Given(/^a request that waits for (usage|configuration|origin)$/, function (this: WaitWorld, cause: WaitCause) {
  Object.assign(this, { failures: [], relayed: 0, refunds: 0 })
  this.waiting = new WaitingRequests(({ incoming }) => refuseStopping(incoming, metrics))
  const ended = new Promise<void>((resolve, reject) => {
    this.endWait = resolve
    this.failWait = () => reject(new Error('The result is not to be had.'))
  })
  if (cause === 'origin') resume(this, ended)
  else handle(this, cause, ended)
})

When('the wait ends by an error', async function (this: WaitWorld) {
  this.failWait()
  await new Promise(resolve => setImmediate(resolve))
})

Then('the request is refused as {string}', function (this: WaitWorld, kind: EntryError['kind']) {
  assert.deepEqual(this.failures.map(failure => [failure.kind, statusOf(failure)]), [[kind, 503]])
  assert.equal(this.relayed, 0)
})

When('its entry stops, and the wait ends afterwards', async function (this: WaitWorld) {
  this.waiting.refuseAll()
  this.endWait()
  await new Promise(resolve => setImmediate(resolve))
})

Then('the request is refused as not run, with {float} s to retry', function (this: WaitWorld, seconds: number) {
  assert.deepEqual(this.failures, [{ kind: 'relay', failure: 'shutting-down', notRun: true, retryAfter: seconds * 1_000 }])
})

Then('it is not relayed, and its usage is returned', function (this: WaitWorld) {
  assert.equal(this.relayed, 0)
  // A request that waits for its configuration has taken no usage.
  assert.ok(this.refunds <= 1)
})
