/**
 * The daemon as a library: settings in, a running process out.
 *
 * @packageDocumentation
 */
export * from './lib/run-daemon.js'
export * from './lib/serve-operators.js'
