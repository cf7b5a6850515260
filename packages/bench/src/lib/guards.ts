/**
 * Guards of the system's guarantees: each is removed in turn, and its test must then fail.
 */
import { entryGuards } from './guards/entry-guards.js'
import type { Guard } from './guards/guard.js'
import { sharedGuards } from './guards/shared-guards.js'
import { sidecarGuards } from './guards/sidecar-guards.js'

export type { Edit, Guard } from './guards/guard.js'

/** All guards under test. */
export const guards: readonly Guard[] = [...sidecarGuards, ...entryGuards, ...sharedGuards]
