/**
 * Checks `hazelford explain` on recorded log lines.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { exitCodes, type Report } from '../lib/exit-code.js'
import { explain } from '../lib/queries/explain.js'

interface ExplainWorld { logs: readonly string[], report: Report }

function line (time: number, node: string, msg: string, fields: object = {}): string {
  return `  ${time / 1_000} ${node} ${JSON.stringify({ level: 30, time, node, ...fields, msg })}`
}

Given('logs of two entries, in which a booking\'s answer was lost', function (this: ExplainWorld) {
  this.logs = [
    [
      line(1_000, 'e1', 'request: taken.', { request: 'b1', route: 'book', service: 'shop', kind: 'non-idempotent' }),
      line(1_001, 'e1', 'request: sent.', { request: 'b1', upstream: 'i-1', send: 1 }),
      line(1_020, 'e1', 'request: answer lost.', { request: 'b1', upstream: 'i-1', cause: 'read ECONNRESET' }),
      line(1_021, 'e1', 'request: over.', { request: 'b1', end: 'lost', took: 21 }),
      '{"level":30,"time":10'
    ].join('\n'),
    [line(1_010, 'e2', 'request: taken.', { request: 'other' }), line(1_400, 'e2', 'membership: upstream gone.', { upstream: 'i-1' })].join('\n')
  ]
})

When('the booking is explained', function (this: ExplainWorld) { this.report = explain('b1', this.logs) })

Then('the explanation says that the booking may have run and was not sent again, with its upstream and the broken connection', function (this: ExplainWorld) {
  assert.equal(this.report.code, exitCodes.done)
  assert.match(this.report.text, /may have run, so it was not sent again/)
  assert.match(this.report.text, /ECONNRESET/)
  assert.match(this.report.text, /upstream gone.*i-1/)
  assert.doesNotMatch(this.report.text, /other/)
})

Given('logs of two entries, in which a draft was refused because its adapter was unavailable', function (this: ExplainWorld) {
  this.logs = [[
    line(1_000, 'e1', 'request: taken.', { request: 'd1', want: { model: 'm', adapter: 'a7' } }),
    line(1_900, 'e1', 'peers: suspected.', { peer: 'e2' }),
    line(3_000, 'e1', 'request: over.', { request: 'd1', end: 'adapter-unavailable' })
  ].join('\n'), [line(500, 'e2', 'daemon: started.'), line(1_400, 'e2', 'loads: load accepted.', { upstream: 'i-9', model: 'm', adapter: 'a7' })].join('\n')]
})

When('the draft is explained', function (this: ExplainWorld) { this.report = explain('d1', this.logs) })

Then('the explanation says that the draft did not run, and shows the holder that did not answer', function (this: ExplainWorld) {
  assert.match(this.report.text, /adapter was not available in time.*did not run/)
  assert.match(this.report.text, /suspected.*e2/)
  assert.match(this.report.text, /load accepted.*i-9/)
})

Given('logs of two entries, in which a request has no line with its end', function (this: ExplainWorld) {
  this.logs = [[line(1_000, 'e1', 'request: taken.', { request: 'k1' }), line(1_700, 'e1', 'daemon: started.')].join('\n'), '']
})

When('that request is explained', function (this: ExplainWorld) { this.report = explain('k1', this.logs) })

Then('the explanation says that its entry was killed or its log ends too soon', function (this: ExplainWorld) {
  assert.match(this.report.text, /killed or cut off, or its log ends too soon/)
  assert.match(this.report.text, /daemon: started/)
})

Then('the explanation says that its entry started again {int} ms later', function (this: ExplainWorld, after: number) {
  assert.match(this.report.text, new RegExp(`started again \\(${after} ms later\\)`))
})

Given('logs of an entry that cut an answer for {string} {int} ms after its upstream\'s last data, itself paused for {int} ms', function (this: ExplainWorld, cause: string, silence: number, ownPause: number) {
  this.logs = [[
    line(1_000, 'e1', 'request: taken.', { request: 'c1', route: 'draft', kind: 'stream', config: 7 }),
    line(1_001, 'e1', 'request: sent.', { request: 'c1', upstream: 'i-1', send: 1, config: 7, version: 3 }),
    line(2_000, 'e1', 'request: stalled.', { request: 'c1', upstream: 'i-1', lastEventId: 5, silence: 900, ownPause: 0 }),
    line(2_010, 'e1', 'request: sent.', { request: 'c1', upstream: 'i-2', send: 2, config: 8, version: 4, beside: 'stalled' }),
    line(2_100, 'e1', 'request: withdrawn.', { request: 'c1', upstream: 'i-1', lastEventId: 6 }),
    line(2_200, 'e1', 'request: answer lost.', { request: 'c1', upstream: 'i-2', cause: 'read ECONNRESET' }),
    line(3_400, 'e1', 'request: answer cut.', { request: 'c1', cause, begun: true, upstream: 'i-2', upstreams: [], silence, ownPause, sends: 2, config: 8, lastEventId: 6 }),
    line(3_400, 'e1', 'request: over.', { request: 'c1', end: 'broken', sends: 2 })
  ].join('\n')]
})

When('the cut draft is explained', function (this: ExplainWorld) { this.report = explain('c1', this.logs) })

Then('the explanation names the cause {string}, the silence of {int} ms, the pause of {int} ms and says {string}, but not that the draft did not run', function (this: ExplainWorld, cause: string, silence: number, pause: number, what: string) {
  assert.match(this.report.text, new RegExp(`closed within its answer, by its entry\\. Cause: ${cause}`))
  assert.doesNotMatch(this.report.text, /did not run/)
  assert.match(this.report.text, new RegExp(`i-2 had sent nothing for ${silence} ms; the entry's own longest pause in that time was ${pause} ms, so ${what}`))
})

Then('the explanation gives configuration and adapter version at each send, and the upstream that was withdrawn for the other', function (this: ExplainWorld) {
  assert.match(this.report.text, /^Send 1: i-1, configuration 7, adapter version 3$/m)
  assert.match(this.report.text, /^Send 2: i-2, beside the first one \(stalled\), configuration 8, adapter version 4$/m)
  assert.match(this.report.text, /^Withdrawn from i-1 in favour of i-2, after event 6$/m)
})

When('a request that no log names is explained', function (this: ExplainWorld) { this.report = explain('none', ['']) })

Then('the explanation says why its lines may be missing', function (this: ExplainWorld) {
  assert.equal(this.report.code, exitCodes.badInput)
  assert.match(this.report.text, /log lines left out/)
})
