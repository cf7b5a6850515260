/**
 * Clients for the platform: key-value service and host list.
 *
 * @packageDocumentation
 */
export * from './lib/host-list.js'
export * from './lib/kv-breaker.js'
export * from './lib/kv-client.js'
export * from './lib/cas-with-read-back.js'
