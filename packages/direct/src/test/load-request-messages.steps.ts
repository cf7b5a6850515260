/**
 * Steps that check messages to the holder of an engine.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import { readLoadRequest, readUse } from '../lib/engines/load-request-messages.js'

const use = { upstream: 'i-1', entry: 'e1', uses: ['m/a1'], outstanding: 3 }
const request = { ...use, want: { model: 'm', adapter: 'a1' }, urgency: 0, patience: -2, answerIn: 5, missing: false, mayWait: true, repeated: false, streams: 0, paused: 0, heard: 0, prompt: { request: 'r1', tokens: 9, dueIn: null } }
const wrong: readonly unknown[] = [[], {}, null, '1', -1, 1e300]

Then('a load request and a report of use are read as sent, and with unknown fields', () => {
  for (const extra of [{}, { later: [1] }]) {
    assert.deepEqual(readLoadRequest({ ...request, ...extra }), { ...request, ...extra })
    assert.deepEqual(readUse({ ...use, ...extra }), { ...use, ...extra })
  }
  assert.notEqual(readUse({ ...use, outstanding: undefined }), undefined)
  assert.notEqual(readLoadRequest({ ...request, prompt: undefined }), undefined)
})

Then('with any one field of another type they are rejected', () => {
  for (const value of wrong) {
    assert.equal(readUse({ ...use, outstanding: value }), undefined)
    assert.equal(readLoadRequest({ ...request, outstanding: value }), undefined)
    assert.equal(readLoadRequest({ ...request, prompt: { ...request.prompt, tokens: value } }), undefined)
  }
  for (const field of ['want', 'urgency', 'patience', 'missing', 'streams', 'heard', 'entry', 'uses']) assert.equal(readLoadRequest({ ...request, [field]: { [field]: 1 } }), undefined, field)
  assert.equal(readLoadRequest({ ...request, prompt: { ...request.prompt, organisation: 7 } }), undefined)
  assert.equal(readUse([]), undefined)
})
