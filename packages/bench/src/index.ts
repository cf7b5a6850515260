/** Launchers, load generators and random numbers, for tests of other packages. @packageDocumentation */
export * from './lib/callers.js'
export * from './lib/config-text.js'
export * from './lib/daemon-process.js'
export * from './lib/fleet.js'
export * from './lib/process-usage.js'
export * from './lib/random.js'
