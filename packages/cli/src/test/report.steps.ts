/**
 * Checks `hazelford report` on recorded log lines.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { exitCodes, type Report } from '../lib/exit-code.js'
import { reportLoad } from '../lib/queries/report-load.js'

interface ReportWorld { recorded: readonly string[], loadReport: Report }

function line (time: number, node: string, msg: string, fields: object = {}): string {
  return `${node} ${JSON.stringify({ level: 30, time, node, ...fields, msg })}`
}

Given('logs of two entries, in which a draft waited for its adapter and one was refused', function (this: ReportWorld) {
  const load = { upstream: 'i-1', model: 'm', adapter: 'a1' }
  this.recorded = [
    [
      line(1_000, 'e1', 'loads: engine held.', { upstream: 'i-1' }),
      line(1_100, 'e1', 'request: taken.', { request: 'd1', route: 'draft' }),
      line(1_110, 'e1', 'loads: load accepted.', load),
      line(1_380, 'e1', 'loads: load holds.', load),
      line(1_420, 'e1', 'request: sent.', { request: 'd1', send: 1, waited: 320, forAdapter: 280, atDoor: 40 }),
      line(1_500, 'e1', 'request: over.', { request: 'd1', end: 'delivered', firstData: 390 })
    ].join('\n'),
    [
      line(1_200, 'e2', 'loads: engine held.', { upstream: 'i-2' }),
      line(3_000, 'e2', 'request: taken.', { request: 'd2', route: 'draft' }),
      line(3_010, 'e2', 'request: adapter not to be had.', { request: 'd2', causes: { 'every slot is in use': 3 } }),
      line(3_020, 'e2', 'request: over.', { request: 'd2', end: 'adapter-unavailable' })
    ].join('\n')
  ]
})

Given('logs of two entries, in which {int} engines terminate while running attempts at one request, and each loses another request too', function (this: ReportWorld, engines: number) {
  const entries: readonly [string[], string[]] = [[], []]
  for (let n = 0; n < engines; n++) {
    const node = n % entries.length
    const fields = { upstream: `i-${n}`, cause: 'socket hang up' }
    entries[node]!.push(
      line(1_000 + n, `e${node}`, 'request: taken.', { request: `again-${n}`, route: 'draft', want: { model: 'm', adapter: 'a7' } }),
      line(1_100 + n, `e${node}`, 'request: answer lost.', { request: `again-${n}`, fingerprint: 'aaaa', ...fields }),
      line(1_100 + n, `e${node}`, 'request: answer lost.', { request: `other-${n}`, fingerprint: `bbb${n}`, ...fields })
    )
  }
  this.recorded = entries.map(lines => lines.join('\n'))
})

Then('the report names that request alone, with its route, its adapter and the {int} engines', function (this: ReportWorld, engines: number) {
  const { text } = this.loadReport
  assert.match(text, new RegExp(`aaaa +draft +m/a7 +${engines} +${engines}`))
  assert.doesNotMatch(text, /bbb/)
})

Given('logs of two entries, in which {int} engines terminate while running different requests with one prompt part, and one with its first part is answered', function (this: ReportWorld, engines: number) {
  const lost = Array.from({ length: engines }, (_, n) => line(1_100 + n, `e${n % 2}`, 'request: answer lost.', { request: `r-${n}`, fingerprint: `f-${n}`, upstream: `i-${n}`, parts: ['aa', 'bb'] }))
  const answered = [
    line(1_000, 'e1', 'request: taken.', { request: 'sound', route: 'draft', parts: ['aa', 'cc'] }),
    line(1_200, 'e1', 'request: over.', { request: 'sound', end: 'delivered' })
  ]
  this.recorded = [lost.join('\n'), answered.join('\n')]
})

Then('the report names that part first, with {int} engines and no answer, and then the first part with its answer', function (this: ReportWorld, engines: number) {
  const { text } = this.loadReport
  assert.match(text, new RegExp(`bb +${engines} +${engines} +0\\s+aa +${engines} +${engines} +1`))
  assert.doesNotMatch(text, /cc/)
})

When('the load is reported', function (this: ReportWorld) { this.loadReport = reportLoad(this.recorded, { from: undefined, length: undefined }) })

When('the load of the first second is reported', function (this: ReportWorld) { this.loadReport = reportLoad(this.recorded, { from: 0, length: 1_000 }) })

Then('the report gives the waiting times by part, the cause of the refusal, the loads by origin and the engines by holder', function (this: ReportWorld) {
  const { code, text } = this.loadReport
  assert.equal(code, exitCodes.done)
  assert.match(text, /draft +1 +before it was sent +320/)
  assert.match(text, /for its adapter +280/)
  assert.match(text, /to be let in +40/)
  assert.match(text, /sent, to first event +70/)
  assert.match(text, /draft +adapter-unavailable +1/)
  assert.match(text, /every slot is in use +3/)
  assert.match(text, /never before +1 +270/)
  assert.match(text, /engines ordered, at s +e1 +e2/)
})

Then('the report leaves out later lines', function (this: ReportWorld) {
  assert.match(this.loadReport.text, /draft +delivered +1/)
  assert.doesNotMatch(this.loadReport.text, /adapter-unavailable/)
})

When('the load is reported as a page', function (this: ReportWorld) { this.loadReport = reportLoad(this.recorded, { from: undefined, length: undefined }, 'page') })

Then('the page has a bar for each end of a request and loads nothing from elsewhere', function (this: ReportWorld) {
  const { text } = this.loadReport
  assert.match(text, /<title>delivered, from 0\.5 s: 1<\/title>/)
  assert.match(text, /<title>adapter-unavailable, from \d\.\d s: 1<\/title>/)
  assert.match(text, /<pre>route/)
  assert.doesNotMatch(text, /https?:|src=/)
})

Given('logs in which {string} has one answer and two requests over its limit, and a caller uses a withdrawn key', function (this: ReportWorld, organisation: string) {
  this.recorded = [[
    line(1_000, 'e1', 'request: taken.', { request: 'n1', route: 'stock', organisation }),
    line(1_050, 'e1', 'request: over.', { request: 'n1', end: 'delivered' }),
    line(1_100, 'e1', 'request: over its usage limit.', { request: 'n2', organisation, retryAfter: 200 }),
    line(1_110, 'e1', 'request: over its usage limit.', { request: 'n3', organisation, retryAfter: 200 }),
    line(1_200, 'e1', 'request: unauthorised.', { request: 'n4', cause: 'unknown-key', key: '0badcafe', version: 7, age: 900 })
  ].join('\n')]
})

Then('the report gives each organisation\'s requests, and the digest of the withdrawn key', function (this: ReportWorld) {
  assert.match(this.loadReport.text, /north +1 +1 +2/)
  assert.match(this.loadReport.text, /unknown-key +0badcafe +1/)
})

/** Log lines of a draft whose first upstream falls silent, with what happens next. */
function silentDraft (request: string, ...next: ReadonlyArray<readonly [string, object]>): readonly string[] {
  const before = [['request: taken.', { route: 'draft' }], ['request: sent.', { upstream: 'i-1', send: 1 }], ['request: stalled.', { upstream: 'i-1', silence: 900, ownPause: 0 }]] as const
  return [...before, ...next].map(([msg, fields], n) => line(1_000 + n, 'e1', msg, { request, ...fields }))
}

Given('logs in which two answers are cut for one cause, and of 4 requests with a silent upstream two are continued by it, one is taken over and one fails', function (this: ReportWorld) {
  const sentBeside = ['request: sent.', { upstream: 'i-2', send: 2, beside: 'stalled' }] as const
  const over = ['request: over.', { end: 'delivered' }] as const
  this.recorded = [[
    ...silentDraft('alone', over),
    ...silentDraft('first', sentBeside, ['request: withdrawn.', { upstream: 'i-2' }], over),
    ...silentDraft('second', sentBeside, ['request: withdrawn.', { upstream: 'i-1' }], over),
    ...silentDraft('cut', sentBeside, ['request: answer lost.', { upstream: 'i-2' }], ['request: answer cut.', { cause: 'attempts-spent', begun: true, silence: 1_300, ownPause: 0 }], ['request: over.', { end: 'broken' }]),
    line(2_000, 'e1', 'request: answer cut.', { request: 'paused', cause: 'attempts-spent', begun: false, silence: 1_000, ownPause: 950 })
  ].join('\n')]
})

Then('the report counts the cut answers by cause, one of them of an entry that stood still, and how the silent requests went on', function (this: ReportWorld) {
  const { text } = this.loadReport
  assert.match(text, /attempts-spent +2 +1 +1 +1300/)
  assert.match(text, /all +4\s+sent to a second one beside it +3\s+continued by the first +2\s+taken over by the second +1\s+delivered by one of them +0\s+not delivered +1\s+not over +0/)
})

Given('logs of entries that were killed, stopped, or go on, each with a request that has no end, and {int} more such requests', function (this: ReportWorld, further: number) {
  const open = (time: number, node: string, request: string): string => line(time, node, 'request: taken.', { request, route: 'draft' })
  this.recorded = [
    [open(1_000, 'killed', 'k'), line(1_010, 'killed', 'request: sent.', { request: 'k', upstream: 'i-1', send: 1 }), line(1_310, 'killed', 'daemon: started.')].join('\n'),
    [open(1_001, 'ends', 's'), line(1_100, 'ends', 'daemon: stopping.'), line(1_201, 'ends', 'daemon: stopped.'), line(1_500, 'ends', 'daemon: started.')].join('\n'),
    [open(1_002, 'going-on', 'r'), open(1_003, 'going-on', 'ended'), line(1_102, 'going-on', 'request: over.', { request: 'ended', end: 'delivered' })].join('\n'),
    Array.from({ length: further }, (_, n) => open(2_000 + n, 'last', `more-${n}`)).join('\n')
  ]
})

Then('the report lists {int} of these requests with their last line and what their entry did then, and says how many it leaves out', function (this: ReportWorld, shown: number) {
  const { text } = this.loadReport
  assert.match(text, /^k +draft +killed +0\.0 +request: sent\. +started again \(300 ms later\)$/m)
  assert.match(text, /^s +draft +ends +0\.0 +request: taken\. +stopped \(200 ms later\)$/m)
  assert.match(text, /^r +draft +going-on +0\.0 +request: taken\. +runs \(100 ms later\)$/m)
  assert.doesNotMatch(text, /^ended /m)
  assert.equal(text.match(/request: taken\. +runs|started again|stopped \(|log ends/g)?.length, shown)
  assert.match(text, /\(and 13 more\)/)
})
