/**
 * The operators' commands, as a library.
 *
 * @packageDocumentation
 */
export * from './lib/cli-context.js'
export * from './lib/commands/apply.js'
export * from './lib/commands/drain.js'
export * from './lib/commands/rollback.js'
export * from './lib/config-store.js'
export * from './lib/entry-views.js'
export * from './lib/exit-code.js'
export * from './lib/processes.js'
export * from './lib/queries/config-queries.js'
export * from './lib/queries/entry-report.js'
export * from './lib/queries/organisation-report.js'
export * from './lib/queries/process-queries.js'
export * from './lib/queries/merged-timeline.js'
export * from './lib/queries/timeline.js'
export * from './lib/queries/upstream-report.js'
export * from './lib/text-diff.js'
