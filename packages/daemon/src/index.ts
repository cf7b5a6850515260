/**
 * The daemon as a library, for launchers and tests.
 *
 * @packageDocumentation
 */
export * from './lib/run-daemon.js'
export * from './lib/serve-operators.js'
