/**
 * Small stand-ins for the platform and the upstreams, with fault switches.
 *
 * @packageDocumentation
 */
export * from './lib/host-list-service.js'
export * from './lib/kv-service.js'
export * from './lib/model-engine.js'
export * from './lib/plain-service.js'
export * from './lib/weight-store.js'
