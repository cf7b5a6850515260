/**
 * Step definitions for the validation of configuration and settings texts.
 */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { Given, Then } from '@cucumber/cucumber'
import { settingsPage } from '../lib/settings-page.js'
import { parseConfig } from '../lib/config.js'
import type { Problem } from '../lib/problem.js'
import { parseSettings } from '../lib/settings.js'

let text: string

Given('the configuration text:', (given: string) => { text = given })
Given('the settings text:', (given: string) => { text = given })

Then('the problems are {string}', (expected: string) => {
  const parsed = parseConfig(text)
  const found: readonly Problem[] = parsed.isErr() ? parsed.error : []
  assert.equal(found.map(({ line, path, message }) => `${line}: ${path}: ${message}`).join(' / ').replaceAll('"', '\''), expected.replaceAll('"', '\'').replaceAll('\\|', '|'))
})

Then('service {string} has class {string}', (name: string, trafficClass: string) => {
  assert.equal(parseConfig(text)._unsafeUnwrap().services.get(name)?.trafficClass, trafficClass)
})

Then('the settings have {int} problems, at lines {string}', (count: number, lines: string) => {
  const problems = parseSettings(text)._unsafeUnwrapErr()
  assert.equal(problems.length, count, JSON.stringify(problems))
  assert.equal(problems.map(problem => problem.line).join(', '), lines)
})

Then('docs\\/SETTINGS.md matches the schemas', () => {
  assert.equal(readFileSync('docs/SETTINGS.md', 'utf8'), settingsPage())
})
