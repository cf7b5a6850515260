/**
 * Interfaces between an entry and the platform it runs on. A platform adapter implements them.
 *
 * @packageDocumentation
 */
export * from './lib/call-codec.js'
export * from './lib/engine-control.js'
export * from './lib/route-config.js'
export * from './lib/store.js'
export * from './lib/store-position.js'
export * from './lib/upstream-notice.js'
export * from './lib/upstream-record.js'
