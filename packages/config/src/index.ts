/**
 * The operators' configuration and the daemons' settings.
 *
 * @packageDocumentation
 */
export * from './lib/config.js'
export * from './lib/checked-text.js'
export * from './lib/config-state.js'
export * from './lib/document.js'
export * from './lib/problem.js'
export type { Policy } from './lib/schema.js'
export * from './lib/settings.js'
