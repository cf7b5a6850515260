/**
 * The entry: HTTP interface for callers, routing, retries and deadlines.
 *
 * @packageDocumentation
 */
export * from './lib/answer-receiver.js'
export * from './lib/call-reader.js'
export * from './lib/channel-client.js'
export * from './lib/entry-options.js'
export * from './lib/entry.js'
export * from './lib/serve-callers.js'
export * from './lib/upstream-directory.js'
