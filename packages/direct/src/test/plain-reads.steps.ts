/**
 * Checks what callers get of few plain servers that many entries share, and when a read counts as overdue.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { overdueTime, ServiceTimes, SharedRetryBudget } from '@hazelford/decisions'
import { ReadPacing } from '../lib/relay/read-pacing.js'
import { type PlainResult, type PlainWorkload, simulatePlainLoad } from './support/plain-load-simulation.js'

const seeds = [1, 2, 3, 4, 5, 6, 7, 8]

/** Plays a workload with each seed and returns the means. */
function play (load: Omit<PlainWorkload, 'seed'>): PlainResult {
  const results = seeds.map(seed => simulatePlainLoad({ ...load, seed }))
  const mean = (read: (result: PlainResult) => number): number => results.reduce((sum, result) => sum + read(result), 0) / results.length
  return { reads: mean(({ reads }) => reads), bookings: mean(({ bookings }) => bookings), longRead: mean(({ longRead }) => longRead), sentTwice: mean(({ sentTwice }) => sentTwice) }
}

interface PlainWorld { waits: PlainResult, moves: PlainResult, beside: PlainResult, informed: PlainResult }

When('{int} requests a second are played, {int} in 100 bookings are in time in each case', function (this: PlainWorld, rate: number, bookings: number) {
  this.waits = play({ rate, rule: 'waits' })
  this.moves = play({ rate, rule: 'moves' })
  this.beside = play({ rate, rule: 'goes beside' })
  for (const result of [this.waits, this.beside]) assert.ok(result.bookings >= bookings / 100, `bookings ${result.bookings}`)
})

Then('at least {int} in 100 fewer reads are late with a second server than without, and the wait that one in a hundred exceeds is shorter', function (this: PlainWorld, fewer: number) {
  assert.ok(1 - this.beside.reads <= (1 - fewer / 100) * (1 - this.waits.reads), `${this.beside.reads} and ${this.waits.reads}`)
  assert.ok(this.beside.longRead < this.waits.longRead)
})

Then('fewer reads are late than if a read were withdrawn from its first server', function (this: PlainWorld) { assert.ok(this.beside.reads > this.moves.reads) })

Then('at most a tenth of the reads are sent twice', function (this: PlainWorld) { assert.ok(this.beside.sentTwice <= 0.1 * 0.28, `${this.beside.sentTwice}`) })

When('{int} requests a second are played by entries that know the load of {int} ms ago', function (this: PlainWorld, rate: number, viewAge: number) {
  this.waits = play({ rate, rule: 'waits' })
  this.informed = play({ rate, rule: 'waits', viewAge })
})

Then('more reads and bookings are late than if each entry counts its own alone', function (this: PlainWorld) {
  assert.ok(this.informed.reads < this.waits.reads && this.informed.bookings < this.waits.bookings)
})

/** Service times of 10, 20, ... 10 x `count` ms. */
function times (count: number): ServiceTimes {
  const measured = new ServiceTimes()
  for (let n = 1; n <= count; n++) measured.add(10 * n)
  return measured
}

Then('no read is overdue before {int} requests of its route or its service are measured', (count: number) => {
  const pacing = new ReadPacing(() => 3)
  const query = { route: 'stock', service: 'shop', target: 400, waited: 0 }
  for (let n = 1; n < count; n++) pacing.record('book', 'shop', 100)
  pacing.record('other', 'elsewhere', 100)
  assert.equal(pacing.overdueTime(query), undefined)
  pacing.record('book', 'shop', 100)
  assert.equal(pacing.overdueTime(query)?.after, 300)
  for (let n = 0; n < count; n++) pacing.record('stock', 'shop', 40)
  assert.equal(pacing.overdueTime(query)?.after, 360)
})

Then('a read is overdue when nine in ten have their answers, and not before a second server would typically need the rest of the target', () => {
  assert.deepEqual(overdueTime(1_000, 0, times(20)), { after: 840, typical: 160 })
  assert.deepEqual(overdueTime(300, 0, times(20)), { after: 190, typical: 160 })
  assert.deepEqual(overdueTime(1_000, 500, times(20)), { after: 340, typical: 160 })
})

Then('no read is overdue when hardly any could be answered within the rest of the target', () => assert.equal(overdueTime(200, 0, times(20)), undefined))

Then('the link is suspected when reads are overdue at most of the servers, and no longer once they have ended', () => {
  const pacing = new ReadPacing(() => 3)
  const ends = [pacing.recordOverdue('shop', 'i-1'), pacing.recordOverdue('shop', 'i-1')]
  assert.equal(pacing.isLinkSuspect('shop'), false)
  ends.push(pacing.recordOverdue('shop', 'i-2'))
  assert.equal(pacing.isLinkSuspect('shop'), true)
  assert.equal(pacing.isLinkSuspect('elsewhere'), false)
  for (const end of ends) end()
  assert.deepEqual([...pacing.silentUpstreams('shop')], [])
  assert.equal(pacing.isLinkSuspect('shop'), false)
})

Then('overdue reads use half of an entry\'s retries at most, and requests that failed can use the rest', () => {
  const budget = new SharedRetryBudget({ ratio: 0.2, slack: 0, window: 10_000 })
  for (let n = 0; n < 100; n++) budget.recordRequest(n)
  const taken = (cause: 'overdue' | 'failed'): number => Array.from({ length: 100 }, () => budget.takeRetry(100, 1, cause)).filter(Boolean).length
  assert.deepEqual([taken('overdue'), taken('failed'), taken('overdue')], [8, 8, 0])
})
