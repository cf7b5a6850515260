/**
 * `npm run guards -- [part of a guarantee]`: removes each guard from the built code and runs its test, which
 * must then fail. A test that passes without its guard does not protect the guarantee.
 */
import { spawnSync } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { type Edit, type Guard, guards } from './lib/guards.js'

const timeoutMs = 90_000

function testPasses (guard: Guard): boolean {
  const args = ['node_modules/.bin/cucumber-js', '--config', 'guards.cucumber.js', '--name', guard.scenario, guard.feature]
  return spawnSync(process.execPath, args, { timeout: timeoutMs }).status === 0
}

/** Whether the test fails without the guard. The built files are restored in any case. */
function isDetected (guard: Guard): boolean {
  const edits = guard.also === undefined ? [guard] : [guard, guard.also]
  const restores = edits.map(applyEdit)
  try {
    return !testPasses(guard)
  } finally {
    // Both edits may change the same file, so the last one is undone first.
    for (const restore of restores.reverse()) restore()
  }
}

/** Applies an edit and returns a function that restores the file. */
function applyEdit (edit: Edit): () => void {
  const original = readFileSync(edit.file, 'utf8')
  const edited = original.replace(edit.find, () => edit.replace)
  if (edited === original) throw new Error(`${edit.file} does not contain "${edit.find}"; correct the guard's entry`)
  writeFileSync(edit.file, edited)
  return () => writeFileSync(edit.file, original)
}

const nameFilter = process.argv[2] ?? ''
const chosen = guards.filter(guard => guard.guarantee.includes(nameFilter))
let undetected = 0
for (const guard of chosen) {
  const detected = isDetected(guard)
  if (!detected) undetected++
  process.stdout.write(`${detected ? 'fails without it' : 'PASSES WITHOUT IT'}  ${guard.guarantee}\n`)
}
process.stdout.write(`${chosen.length - undetected} of ${chosen.length} guards are covered by their tests\n`)
process.exitCode = undetected === 0 ? 0 : 1
