/**
 * Prints how many scenarios passed and failed, alone on a line.
 */
import { readFileSync } from 'node:fs'

const features = JSON.parse(readFileSync(process.argv[2], 'utf8'))
const scenarios = features.flatMap(feature => feature.elements)
const failed = scenarios.filter(scenario => scenario.steps.some(step => step.result.status !== 'passed')).length
console.log(`${scenarios.length - failed} passed, ${failed} failed`)
if (scenarios.length === 0) process.exit(1)
