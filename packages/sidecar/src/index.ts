/**
 * The sidecar of one upstream: adapter slots, queue, batches, claims on idempotency keys and fencing.
 *
 * @packageDocumentation
 */
export * from './lib/claims.js'
export * from './lib/adapter-slots.js'
export * from './lib/fence.js'
export * from './lib/load-permits.js'
export * from './lib/sidecar-options.js'
export * from './lib/sidecar.js'
