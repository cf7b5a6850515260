/**
 * The verdict on a test run: what passed, what failed, and which failures are known.
 */

/**
 * Reads the list of known failures.
 *
 * @param {string} text - one line each: `FILE.feature: SCENARIO | cause | command and seed | what was seen | open issue`
 * @returns {ReadonlyArray<{ readonly test: string, readonly line: string }>}
 */
export function readKnownRed (text) {
  return text.split('\n').filter(line => line.trim() !== '').map(line => ({ test: line.split('|')[0].trim(), line }))
}

/** What this run says of a known failure. A test that is no scenario, such as a long soak, is run by hand. */
function stateOf (test, red) {
  if (!test.includes('.feature: ')) return 'not run here'
  return red.some(scenario => scenario.test === test) ? 'failed' : 'did not fail: take it off the list'
}

function hasFailed (scenario) { return scenario.steps.some(step => step.result.status !== 'passed') }

/**
 * Judges a run.
 *
 * A run that failed though none of its scenarios did, such as one whose files can't be read, fails: nothing shows that
 * all scenarios were run.
 *
 * @param features - of the runner's JSON report
 * @param knownRed - as {@link readKnownRed} gives it
 * @param {number} status - exit status of the runner
 * @returns lines to print, and whether the run passes
 */
export function judge (features, knownRed, status) {
  const scenarios = features.flatMap(({ uri, elements }) => elements.map(scenario => ({ test: `${uri}: ${scenario.name}`, failed: hasFailed(scenario) })))
  const listed = new Set(knownRed.map(({ test }) => test))
  const red = scenarios.filter(({ failed }) => failed)
  const failed = red.filter(({ test }) => !listed.has(test)).length
  const skipped = red.length - failed
  const lines = knownRed.map(({ test, line }) => `KNOWN RED (${stateOf(test, red)}) ${line}`)
  const count = `${scenarios.length - red.length} passed, ${failed} failed`
  const runBroke = status !== 0 && red.length === 0
  return {
    lines: [...lines, skipped === 0 ? count : `${count}, ${skipped} skipped`],
    passes: scenarios.length > 0 && failed === 0 && !runBroke
  }
}
