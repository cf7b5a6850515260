/**
 * The frames between entry and sidecar.
 *
 * @packageDocumentation
 */
export * from './generated/channel.js'
export * from './lib/channel-options.js'
export * from './lib/document-frame.js'
export * from './lib/frame-batcher.js'
export * from './lib/sidecar-outbox.js'
