/**
 * Runs one stand-in as a process of its own, for benchmarks: `main.js engine|plain [JSON]`.
 */
import { type EngineOptions, startModelEngine } from './lib/model-engine.js'
import { startPlainService } from './lib/plain-service.js'

const [kind, options] = process.argv.slice(2)
const standIn = kind === 'engine'
  ? await startModelEngine(JSON.parse(options!) as EngineOptions)
  : await startPlainService()
process.stdout.write(`${JSON.stringify({ port: standIn.port, operatorPort: 0 })}\n`)
process.on('SIGTERM', () => process.exit(0))
