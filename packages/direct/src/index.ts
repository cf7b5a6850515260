/**
 * An entry that sends requests to upstreams directly, and loads and unloads adapters on the engines whose leases it holds.
 *
 * @packageDocumentation
 */
export * from './lib/store/change-feed.js'
export * from './lib/direct-entry.js'
export * from './lib/entry-settings.js'
export * from './lib/relay/hop-headers.js'
export * from './lib/peers/json-client.js'
export * from './lib/json-log.js'
export * from './lib/metrics.js'
export * from './lib/placing/notice-messages.js'
export * from './lib/platform-port.js'
