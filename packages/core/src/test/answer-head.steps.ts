import assert from 'node:assert/strict'
import { type IWorld, Then, When } from '@cucumber/cucumber'
import { type HeadVerdict, judgeAnswerHead } from '@hazelford/core'

interface HeadWorld extends IWorld { verdict: HeadVerdict }

/** Replaces `\xHH` by the character that it stands for. */
function unescape (text: string): string {
  return text.replace(/\\x([0-9a-f]{2})/g, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
}

When('the head of an answer has status {int} and the field {string} with value {string}', function (this: HeadWorld, status: number, name: string, value: string) {
  this.verdict = judgeAnswerHead('GET', status, [unescape(name), unescape(value)])
})

When('the head of an answer to {word} has status {int} and the field {string} with value {string}', function (this: HeadWorld, method: string, status: number, name: string, value: string) {
  this.verdict = judgeAnswerHead(method, status, [unescape(name), unescape(value)])
})

When('the head of an answer has status {int} and the reason {string}', function (this: HeadWorld, status: number, reason: string) {
  this.verdict = judgeAnswerHead('GET', status, [], unescape(reason))
})

When('the head of an answer has a length and chunks', function (this: HeadWorld) {
  this.verdict = judgeAnswerHead('GET', 200, ['Content-Length', '5', 'Transfer-Encoding', 'chunked'])
})

Then('the head is invalid for its {word}', function (this: HeadWorld, problem: string) {
  assert.deepEqual(this.verdict, { kind: 'invalid', problem })
})

Then('the body of the answer ends with {string}', function (this: HeadWorld, framing: string) {
  assert.deepEqual(this.verdict, { kind: 'answer', framing })
})
