/**
 * Checks that limits hold across all entries, and that what they allow can be used.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { type Clock, FakeClock, type Ms, silentLog, sleep } from '@hazelford/core'
import { rendezvousOrder, type UsageBounds, type UsageGrant } from '@hazelford/decisions'
import type { Organisation } from '@hazelford/ports'
import fc from 'fast-check'
import { limitBounds } from '../lib/placing/notice-coordinator.js'
import { grantInFull, usageLimits, usageOf } from '../lib/usage/organisation-usage.js'
import type { PeerAddress } from '../lib/peers/peer-table.js'
import { UsageCoordinator, type UsageCoordinatorOptions } from '../lib/usage/usage-coordinator.js'
import { type Admission, CreditQueue } from '../lib/usage/credit-queue.js'
import { readUsageGrants, readUsageMessage } from '../lib/usage/usage-messages.js'
import { simulateUsage, type UsageDemand, type UsageFault, type UsageWorkload } from './support/usage-simulation.js'

const propertySeed = 20261203
const entries = 22
const length = 14_000
/** A large and a small organisation, in the proportions of 16 organisations with 240 requests a second in all. */
const large: UsageDemand = { organisation: 'large', limit: 146_000, requested: 81_000, entries: 14, cost: 1_100 }
const small: UsageDemand = { organisation: 'small', limit: 9_000, requested: 5_000, entries: 4, cost: 900 }

/** An organisation whose callers are connected to all entries. */
const scattered: UsageDemand = { organisation: 'scattered', limit: 9_400, requested: 5_200, entries: 22, cost: 1_500 }

function workload (over: Partial<UsageWorkload>): UsageWorkload { return { allocation: 'allocator', entries, demands: [large, small, scattered], faults: [], length, seed: 1, ...over } }

Then('with an allocator at most {int} in {int} units are refused within the limit, with equal parts over {int}', async (most: number, of: number, equal: number) => {
  for (const seed of [1, 2, 3]) {
    const allocated = await simulateUsage(workload({ seed }))
    const parts = await simulateUsage(workload({ seed, allocation: 'equal-parts' }))
    console.log(`usage within the limit, seed ${seed}: allocator ${JSON.stringify(allocated)}, equal parts ${JSON.stringify(parts)}`)
    assert.ok(allocated.refusedWithinLimit <= most / of, `allocator ${allocated.refusedWithinLimit}`)
    assert.ok(parts.refusedWithinLimit > equal / of, `equal parts ${parts.refusedWithinLimit}`)
  }
})

Then('use stays within the limit in every window, and over {int} in {int} units of what it allows are used', async (least: number, of: number) => {
  for (const demand of [{ ...large, requested: 600_000 }, { ...small, requested: 40_000 }]) {
    const result = await simulateUsage(workload({ demands: [demand] }))
    console.log(`usage beyond the limit, ${demand.organisation}: ${JSON.stringify(result)}`)
    assert.ok(result.worstWindow <= 1, `worst window ${result.worstWindow}`)
    assert.ok(result.used > least / of, `used ${result.used}`)
  }
})

Then('at least {int} in {int} units are admitted, and use stays within the limit in every window', async (least: number, of: number) => {
  const result = await simulateUsage(workload({ demands: [{ ...large, requested: 1.1 * large.limit }], length: 24_000 }))
  console.log(`usage a tenth beyond the rate: ${JSON.stringify(result)}`)
  assert.ok(result.admitted >= least / of, `admitted ${result.admitted}`)
  assert.ok(result.worstWindow <= 1, `worst window ${result.worstWindow}`)
})

const fault: fc.Arbitrary<UsageFault> = fc.oneof(
  fc.record({ kind: fc.constant('cut' as const), entry: fc.integer({ min: 0, max: 5 }), at: fc.integer({ min: 0, max: 8_000 }), lasts: fc.integer({ min: 50, max: 6_000 }) })
    .map(({ lasts, ...cut }) => ({ ...cut, until: cut.at + lasts })),
  fc.record({ kind: fc.constant('restart' as const), entry: fc.integer({ min: 0, max: 5 }), at: fc.integer({ min: 0, max: 10_000 }) })
)

Then('use stays within the limit in every window, whichever entries are cut off or restart', async () => {
  const demands = [{ ...large, requested: 500_000, entries: 6 }]
  await fc.assert(fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 8 }), async faults => {
    const result = await simulateUsage(workload({ entries: 6, demands, faults, length: 10_000 }))
    assert.ok(result.worstWindow <= 1, `worst window ${result.worstWindow}`)
  }), { seed: propertySeed, numRuns: 60, endOnFailure: true })
})

Then('at an entry that is cut off from {int} other entries, no request waits for longer than {int} ms, and use stays within the limit in every window', async (others: number, most: Ms) => {
  const demands = [{ ...large, requested: 400_000, entries: 8 }]
  const faults: UsageFault[] = [{ kind: 'cut', entry: 0, at: 2_000, until: 9_500 }]
  const { longestWait, worstWindow } = await simulateUsage(workload({ entries: others + 1, demands, faults, length: 10_000 }))
  assert.ok(longestWait <= most, `waited ${longestWait} ms`)
  assert.ok(worstWindow <= 1, `worst window ${worstWindow}`)
})

Then('at least {int} in {int} units of its requests are admitted, if they are less than its equal part', async (least: number, of: number) => {
  const demands = [{ ...large, requested: 2_000, cost: 100, entries: 1 }]
  const { admitted } = await simulateUsage(workload({ entries: 40, demands, faults: [{ kind: 'cut', entry: 0, at: 1_000, until: 11_000 }], length: 10_000 }))
  assert.ok(admitted >= least / of, `admitted ${admitted}`)
})

/** Bounds that the use of an upstream's limit is judged by: half as much again as the limit, and five requests. */
const judgedLimit: UsageBounds = { window: 4_000, overage: 0.5, slack: 5 }

function limited (limit: number, among: number): UsageWorkload {
  const demand: UsageDemand = { organisation: 'upstream', limit, requested: 60, entries: among, cost: 1, burst: 0 }
  return workload({ entries: among, demands: [demand], bounds: limitBounds, judgedBounds: judgedLimit, waitsForCredit: false, length: 10_000 })
}

Then('{int} entries send an upstream at most what its limit allows in 4 s, and over {int} in {int} of its limit, whatever limit it names', async (among: number, least: number, of: number) => {
  for (const limit of [1, 1.4, 8, 30]) {
    const result = await simulateUsage(limited(limit, among))
    assert.ok(result.worstWindow <= 1, `limit ${limit}: worst window ${result.worstWindow}`)
    assert.ok(result.used > least / of, `limit ${limit}: used ${result.used}`)
  }
})

Then('{int} entries send it at most what its limit allows in 4 s, whichever of them are cut off or restart', async (among: number) => {
  await fc.assert(fc.asyncProperty(fc.array(fault, { minLength: 1, maxLength: 8 }), fc.constantFrom(0.5, 1.4, 9), async (faults, limit) => {
    const result = await simulateUsage({ ...limited(limit, among), faults })
    assert.ok(result.worstWindow <= 1, `limit ${limit}: worst window ${result.worstWindow}`)
  }), { seed: propertySeed, numRuns: 30, endOnFailure: true })
})

Then('a caller refused for the limit of an upstream or an organisation gets a retry-after of {int} ms or more', async (least: number) => {
  for (const simulated of [limited(1.4, 5), limited(8, 30), workload({ demands: [{ ...large, requested: 600_000 }] })]) {
    const { shortestRetryAfter } = await simulateUsage(simulated)
    assert.ok(shortestRetryAfter >= least, `retry-after ${shortestRetryAfter} ms`)
  }
})

async function assertWithinLimits (faults: readonly UsageFault[]): Promise<void> {
  const workloads = [limited(1.4, 5), limited(8, 30), workload({ demands: [{ ...large, requested: 600_000 }] })]
  const worst = await Promise.all(workloads.map(async each => (await simulateUsage({ ...each, faults })).worstWindow))
  assert.ok(Math.max(...worst) <= 1, `worst windows ${worst.join()}`)
}

function lapse (lasts: number): UsageFault { return { kind: 'lapse', at: 3_000, until: 3_000 + lasts } }

Then('use stays within the limits of an upstream and an organisation in every window, while each entry lists only itself for {int} ms', (lasts: number) => assertWithinLimits([lapse(lasts)]))

Then('use stays within the limits of an upstream and an organisation in every window, while entries start in {int} ms in which each entry lists only itself', (lasts: number) => {
  const starts = [0, 1, 2, 3].map((entry): UsageFault => ({ kind: 'restart', entry, at: 3_500 + entry * 200 }))
  return assertWithinLimits([lapse(lasts), ...starts])
})

Then('use stays within the limits of an upstream and an organisation in every window, whichever entry starts and has no configuration for {int} ms', async (unconfigured: Ms) => {
  for (const entry of [0, 1, 2]) {
    const starts: UsageFault[] = [{ kind: 'restart', entry, at: 3_000, unconfigured }]
    const organisation: UsageDemand = { organisation: 'flooding', limit: 20, requested: 60, entries: 3, cost: 1, burst: 10 }
    const workloads = [limited(8, 3), workload({ entries: 3, demands: [organisation], bounds: { window: 8_000, overage: 0.1, slack: 10 } })]
    const worst = await Promise.all(workloads.map(async each => (await simulateUsage({ ...each, faults: starts })).worstWindow))
    assert.ok(Math.max(...worst) <= 1, `entry ${entry}: worst windows ${worst.join()}`)
  }
})

/** An organisation with a limit in requests, which its callers exceed many times over. */
const flooding: UsageDemand = { organisation: 'flooding', limit: 20, requested: 300, entries: 3, cost: 1, burst: 10 }
const floodingBounds: UsageBounds = { window: 8_000, overage: 0.1, slack: 10 }
/** Its callers send nothing for 10 s, in which credit accrues, and then more than a window. */
const pauseThenFlood = 20_000
const lengthWithFlood = 16_500

const messageFault: fc.Arbitrary<UsageFault> = fc.record({ kind: fc.constantFrom('refusal' as const, 'loss' as const), share: fc.double({ min: 0.02, max: 0.5, noNaN: true }), at: fc.constantFrom(0, 4_000), until: fc.constant(lengthWithFlood) })

/** Faults among a number of entries, of which each may concern any of them. */
function faultsAmong (entries: number): fc.Arbitrary<UsageFault> {
  const entry = fc.integer({ min: 0, max: entries - 1 })
  const at = fc.integer({ min: 0, max: 12_000 })
  const lasts = fc.integer({ min: 50, max: 4_000 })
  return fc.oneof(
    messageFault,
    fc.record({ kind: fc.constant('cut' as const), entry, at, lasts }).map(({ lasts, ...cut }) => ({ ...cut, until: cut.at + lasts })),
    fc.record({ kind: fc.constant('restart' as const), entry, at, unconfigured: fc.integer({ min: 0, max: 900 }) }),
    fc.record({ kind: fc.constant('unlisted' as const), entry, by: entry, at, lasts }).map(({ lasts, ...unlisted }) => ({ ...unlisted, until: unlisted.at + lasts }))
  )
}

function floodingAmong (count: number): UsageWorkload {
  return workload({ entries: count, demands: [{ ...flooding, entries: count, period: pauseThenFlood }], bounds: floodingBounds, length: lengthWithFlood })
}

Then('use stays within the limit in every window, whichever of {int} to {int} entries answer, restart, or are missing in lists', async (least: number, most: number) => {
  const cases = fc.integer({ min: least, max: most }).chain(count => fc.record({ count: fc.constant(count), seed: fc.nat(), faults: fc.array(faultsAmong(count), { minLength: 1, maxLength: 8 }) }))
  await fc.assert(fc.asyncProperty(cases, async ({ count, seed, faults }) => {
    const { worstWindow } = await simulateUsage({ ...floodingAmong(count), seed, faults })
    assert.ok(worstWindow <= 1, `worst window ${worstWindow}`)
  }), { seed: propertySeed, numRuns: 60, endOnFailure: true })
})

Then('use stays within the limit in every window, while {int} in {int} messages among {int} entries are refused', async (refused: number, of: number, count: number) => {
  for (let seed = 1; seed <= 30; seed++) {
    const faults: UsageFault[] = [{ kind: 'refusal', share: refused / of, at: 0, until: lengthWithFlood }]
    const { worstWindow } = await simulateUsage({ ...floodingAmong(count), seed, faults })
    assert.ok(worstWindow <= 1, `seed ${seed}: worst window ${worstWindow}`)
  }
})

Then('without faults, at least {int} of the {int} requests are used that a window allows', async (least: number, allowed: number) => {
  for (const count of [1, 3, 10]) {
    const { worstWindow } = await simulateUsage(floodingAmong(count))
    assert.ok(worstWindow * allowed >= least, `${count} entries: ${worstWindow * allowed}`)
  }
})

interface NewcomerWorld { coordinator: UsageCoordinator, messages: number }

const newcomer: Organisation = { name: 'newcomer', keys: [], limit: { unit: 'requests', rate: 50, burst: 50, plainTokens: 0 } }

/** Entries by rank as allocator, first choice first. */
function rankedEntries (count: number): readonly PeerAddress[] {
  const names = Array.from({ length: count }, (_, n) => `entry-${n}`)
  return rendezvousOrder('usage/0', names).map((node, n) => ({ node, host: '127.0.0.1', port: n + 1 }))
}

/** The coordinator of one entry among others that all answer pings. */
function coordinatorAmong (entries: readonly PeerAddress[], node: string, clock: Clock, organisations: readonly Organisation[], report: UsageCoordinatorOptions['report']): UsageCoordinator {
  const coordinator = new UsageCoordinator({
    node,
    clock,
    log: silentLog,
    bounds: () => ({ window: 8_000, overage: 0.1, slack: 0 }),
    entries: () => entries,
    entryCount: () => entries.length,
    isConfigured: () => true,
    kind: 'usage',
    waitsForCredit: true,
    limits: () => usageLimits(organisations),
    defaultGrant: grantInFull,
    report,
    ping: async () => {}
  })
  coordinator.limitsChanged()
  return coordinator
}

When('an organisation is known to an entry, and not yet to its allocator', function (this: NewcomerWorld) {
  const entries = rankedEntries(2)
  const [first, second] = entries
  const clock = new FakeClock()
  this.messages = 0
  const unexpectedReport = async (): Promise<never> => { throw new Error('the allocator must not report to another entry') }
  const allocator = coordinatorAmong(entries, first!.node, clock, [], unexpectedReport)
  this.coordinator = coordinatorAmong(entries, second!.node, clock, [newcomer], async (_, msg) => {
    this.messages++
    return allocator.report(msg)!
  })
})

Then('its first {int} requests are admitted, with {int} messages at most', async function (this: NewcomerWorld, requests: number, messages: number) {
  const admissions: readonly Admission[] = await Promise.all(Array.from({ length: requests }, () => this.coordinator.admit(newcomer.name, usageOf(newcomer.limit!, undefined))))
  assert.deepEqual(admissions.filter(({ kind }) => kind !== 'admitted'), [])
  assert.ok(this.messages <= messages, `${this.messages} messages`)
})

interface NoAllocatorWorld { reportsByEntry: Map<string, number>, reportsAfterStop: number }

const refusedAfterMs = 150

When('none of {int} possible allocators accepts reports, though all answer, and the entry stops after {int} ms', async function (this: NoAllocatorWorld, others: number, stopsAfter: number) {
  const peers = rankedEntries(others + 1)
  const clock = new FakeClock()
  const reportsByEntry = new Map<string, number>()
  const coordinator = coordinatorAmong(peers, peers.at(-1)!.node, clock, [newcomer], async ({ node }) => {
    reportsByEntry.set(node, (reportsByEntry.get(node) ?? 0) + 1)
    await sleep(clock, refusedAfterMs)
    throw new Error('the allocator answered 404')
  })
  const pass = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed++) {
      clock.advance(1)
      await new Promise(resolve => setImmediate(resolve))
    }
  }
  await pass(stopsAfter)
  coordinator.stop()
  this.reportsByEntry = new Map(reportsByEntry)
  await pass(refusedAfterMs)
  const before = [...reportsByEntry.values()].reduce((sum, times) => sum + times, 0)
  await pass(stopsAfter)
  this.reportsAfterStop = [...reportsByEntry.values()].reduce((sum, times) => sum + times, 0) - before
})

Then('each got {int} reports at most, and none from then on', function (this: NoAllocatorWorld, most: number) {
  assert.ok(Math.max(...this.reportsByEntry.values()) <= most, [...this.reportsByEntry].join(' '))
  assert.equal(this.reportsAfterStop, 0)
})

Then('whatever a peer reports or grants is read as finite, non-negative amounts, or ignored', () => {
  const anything = fc.oneof(fc.jsonValue(), fc.record({ shard: fc.jsonValue(), entry: fc.jsonValue(), covers: fc.jsonValue(), rows: fc.array(fc.record({ account: fc.string(), holding: fc.jsonValue(), first: fc.integer(), waiting: fc.integer(), ahead: fc.jsonValue(), returned: fc.integer() })) }))
  fc.assert(fc.property(anything, value => {
    for (const { holding, first, waiting, ahead, returned } of readUsageMessage(value)?.rows ?? []) assert.ok([holding, first, waiting, ahead, returned].every(amount => Number.isFinite(amount) && amount >= 0))
    for (const { granted, wait } of readUsageGrants({ grants: value }) ?? []) assert.ok(granted >= 0 && wait >= 0)
  }), { seed: propertySeed, numRuns: 1_000 })
  const good = { shard: 0, entry: 'e', covers: 400, rows: [{ account: 'o', holding: 1, first: 0, waiting: 0, ahead: 2.5, returned: 0 }] }
  assert.deepEqual(readUsageMessage(good), good)
})

interface WaitingWorld { waitedMs: Ms, admission: Admission }

When('a request with {int} ms left waits for credit of an allocator that does not answer', async function (this: WaitingWorld, patience: number) {
  const clock = new FakeClock()
  const queue = new CreditQueue({ clock, log: silentLog, node: 'entry', startedAt: 0, isNeeded: () => true, waitsForCredit: true, summary: { add: () => {} }, report: () => new Promise(() => {}) })
  const stepMs = 50
  const admission = Promise.resolve(queue.admit('organisation', 1, patience)).then(decided => { this.admission = decided })
  while (this.admission === undefined) {
    clock.advance(stepMs)
    await new Promise(resolve => setImmediate(resolve))
  }
  await admission
  this.waitedMs = clock.now()
  queue.stop()
})

Then('it is refused after {int} ms', function (this: WaitingWorld, ms: number) {
  assert.equal(this.admission.kind, 'over-limit')
  assert.equal(this.waitedMs, ms)
})

Then('requests that wait for credit get it by priority, and those of one priority in the order in which they came', async () => {
  const clock = new FakeClock()
  let grant: (grants: readonly UsageGrant[]) => void = () => {}
  const queue = new CreditQueue({ clock, log: silentLog, node: 'entry', startedAt: 0, isNeeded: () => true, waitsForCredit: true, summary: { add: () => {} }, report: () => new Promise(resolve => { grant = resolve }) })
  const admitted: string[] = []
  const settled = (): Promise<void> => new Promise(resolve => setImmediate(resolve))
  for (const [name, urgency] of [['opener', 1], ['late', 2], ['first', 1], ['urgent', 0], ['second', 1]] as const) {
    Promise.resolve(queue.admit('organisation', 1, 1_000, urgency)).then(({ kind }) => { if (kind === 'admitted') admitted.push(name) }, assert.fail)
  }
  grant([{ account: 'organisation', granted: 0, wait: 0 }])
  await settled()
  grant([{ account: 'organisation', granted: 4, wait: 50 }])
  await settled()
  assert.deepEqual(admitted, ['urgent', 'opener', 'first', 'second'])
  queue.stop()
})
