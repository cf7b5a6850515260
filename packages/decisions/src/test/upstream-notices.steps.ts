/**
 * Compares the known notices of an upstream with a naive record that keeps all answers.
 */
import assert from 'node:assert/strict'
import { Then } from '@cucumber/cucumber'
import type { Ms } from '@hazelford/core'
import fc from 'fast-check'
import { UpstreamNotices } from '../lib/upstream-notices.js'
import { propertyOptions } from './support/property-options.js'

/** An answer: `gap` ms after the previous one was read, and `took` ms after its request. */
interface Answer { readonly gap: Ms, readonly took: Ms, readonly rateLimit: number | undefined, readonly leaving: boolean, readonly backoff: Ms | undefined }

const answers: fc.Arbitrary<readonly Answer[]> = fc.array(fc.record({
  gap: fc.integer({ min: 1, max: 300 }),
  took: fc.integer({ min: 0, max: 400 }),
  rateLimit: fc.constantFrom(undefined, undefined, 1.4, 3),
  leaving: fc.integer({ min: 0, max: 9 }).map(n => n === 0),
  backoff: fc.constantFrom(undefined, undefined, 200, 900)
}), { maxLength: 30 })

interface Read extends Answer { readonly at: Ms }

/**
 * A limit applies until an answer without one arrives whose request was sent after every answer with a limit was read.
 */
function naiveLimit (read: readonly Read[]): number | undefined {
  const named = read.filter(({ rateLimit }) => rateLimit !== undefined).at(-1)
  const isLifted = named !== undefined && read.some(({ at, took, rateLimit }) => rateLimit === undefined && at - took > named.at)
  return isLifted ? undefined : named?.rateLimit
}

Then('the known notices agree with a naive record of all answers, whatever their order', () => {
  fc.assert(fc.property(answers, given => {
    const notices = new UpstreamNotices()
    const read: Read[] = []
    let now = 0
    for (const answer of given) {
      now += answer.gap
      notices.applyNotice(answer, now - answer.took, now)
      read.push({ ...answer, at: now })
      assert.equal(notices.limit.rate, naiveLimit(read))
      assert.equal(notices.leaving, read.some(({ leaving }) => leaving))
      assert.equal(notices.backoffUntil, Math.max(-Infinity, ...read.flatMap(({ at, backoff }) => backoff === undefined ? [] : [at + backoff])))
    }
  }), propertyOptions)
})
