/**
 * Clock, verdicts, events, tasks and the types that all packages share. No I/O.
 *
 * @packageDocumentation
 */
export * from './lib/adapter-ref.js'
export * from './lib/answer-deadline.js'
export * from './lib/answer-head.js'
export * from './lib/assert-never.js'
export * from './lib/call-digest.js'
export * from './lib/clock.js'
export * from './lib/config-document.js'
export * from './lib/event-ring.js'
export * from './lib/hlc.js'
export * from './lib/ids.js'
export * from './lib/instant.js'
export * from './lib/key-digest.js'
export * from './lib/log.js'
export * from './lib/operator-view.js'
export * from './lib/task.js'
export * from './lib/traffic-class.js'
export * from './lib/verdict.js'
