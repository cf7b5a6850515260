/**
 * Requests that terminate the engines that run them, with sidecars.
 */
import assert from 'node:assert/strict'
import { Then, When } from '@cucumber/cucumber'
import { complete } from '../lib/callers.js'
import type { SystemWorld } from './support/world.js'

const timeout = 30_000
const crashPrompt = 'ending'
/** Engines that may terminate while running a request before the bound on its further attempts applies. */
const allowedTerminations = 3

When('a completion that terminates each engine is requested every {int} ms for {int} s, at the entries in turn', { timeout }, async function (this: SystemWorld, everyMs: number, seconds: number) {
  const { engines, entries } = this.system
  for (const engine of engines) engine.crashPrompt = crashPrompt
  const attempts: Array<Promise<unknown>> = []
  const end = performance.now() + seconds * 1_000
  for (let attempt = 0; performance.now() < end; attempt++) {
    attempts.push(complete(entries[attempt % entries.length]!.url, 'a@1', crashPrompt, 4, true).catch(() => {}))
    await new Promise(resolve => setTimeout(resolve, everyMs))
  }
  await Promise.all(attempts)
})

Then('at most {int} engines terminate later than {int} s after the third termination', function (this: SystemWorld, most: number, seconds: number) {
  const terminations = this.system.engines.flatMap(engine => engine.crashTimes).sort((a, b) => a - b)
  const third = terminations[allowedTerminations - 1]
  assert.ok(third !== undefined, `${terminations.length} engines terminated`)
  const late = terminations.filter(at => at > third + seconds * 1_000)
  assert.ok(late.length <= most, `${late.length} later, ${terminations.length} in all`)
})
