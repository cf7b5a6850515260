/**
 * Routing, slots, loads, retries and admission as pure generators and reducers.
 *
 * @packageDocumentation
 */
export * from './lib/adapter-demand.js'
export * from './lib/adapter-plan.js'
export * from './lib/choose-upstream.js'
export * from './lib/decayed-counter.js'
export * from './lib/load-pacer.js'
export * from './lib/place-request.js'
export * from './lib/plan-messages.js'
export * from './lib/prompt-pacer.js'
export * from './lib/relay-flow.js'
export * from './lib/rendezvous.js'
export * from './lib/share-engines.js'
export * from './lib/route-table.js'
export * from './lib/shared-retry-budget.js'
export * from './lib/request-flow.js'
export * from './lib/request-ledger.js'
export * from './lib/retry-budget.js'
export * from './lib/revision-holder.js'
export * from './lib/sequencer.js'
export * from './lib/slot-table.js'
export * from './lib/smoothed.js'
export * from './lib/upstream-health.js'
export * from './lib/upstream-plan.js'
export * from './lib/upstream-view.js'
export * from './lib/waiting-line.js'
