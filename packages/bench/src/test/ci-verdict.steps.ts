/**
 * Checks how CI judges a test run.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'

interface Verdict { readonly lines: readonly string[], readonly passes: boolean }
interface VerdictModule {
  readonly readKnownRed: (text: string) => object
  readonly judge: (features: readonly object[], knownRed: object, status: number) => Verdict
}
interface VerdictWorld { list: string, verdict: Verdict }

/** The script is outside the packages, because it must run where nothing has been built. */
const script = new URL('../../../../.ci/verdict.js', import.meta.url)

function scenario (name: string, failed: boolean): object {
  return { name, steps: [{ result: { status: 'passed' } }, { result: { status: failed ? 'failed' : 'passed' } }] }
}

Given('a list of known failures that names {string}', function (this: VerdictWorld, test: string) {
  this.list = `${test} | cause | command | what was seen | issue 1\n`
})

When(/^a run of the scenarios "(.+)" and "(.+)" of (.+) ends with (.+) failing and status (\d)$/, async function (this: VerdictWorld, first: string, second: string, file: string, failing: string, status: string) {
  const { judge, readKnownRed } = await import(script.href) as VerdictModule
  const fails = (name: string): boolean => failing === 'both' || failing === `"${name}"`
  const features = [{ uri: file, elements: [scenario(first, fails(first)), scenario(second, fails(second))] }]
  this.verdict = judge(features, readKnownRed(this.list), Number(status))
})

Then(/^it (passes|fails) and its last line is "(.+)"$/, function (this: VerdictWorld, verdict: string, last: string) {
  assert.equal(this.verdict.passes, verdict === 'passes')
  assert.equal(this.verdict.lines.at(-1), last)
  assert.ok(this.verdict.lines[0]!.startsWith('KNOWN RED ('))
})

Then('its output begins with {string}', function (this: VerdictWorld, begin: string) {
  assert.ok(this.verdict.lines[0]!.startsWith(begin), this.verdict.lines[0])
})
