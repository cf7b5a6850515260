/**
 * Clients for upstreams: model engines and plain services.
 *
 * @packageDocumentation
 */
export * from './lib/answer-sink.js'
export * from './lib/engine-client.js'
export * from './lib/headers.js'
export * from './lib/engine-name.js'
export * from './lib/plain-client.js'
