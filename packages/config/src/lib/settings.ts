/**
 * Settings of one daemon: values that a process needs before it can connect to other processes.
 */
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { checkText } from './checked-text.js'
import type { Problem } from './problem.js'

const listenSchema = z.strictObject({
  host: z.string().default('127.0.0.1'),
  port: z.int().min(0).max(65_535).default(0)
})

const common = {
  name: z.string().regex(/^[\w.-]+$/, 'A name has letters, digits, ".", "_" and "-" only.'),
  zone: z.string().min(1),
  kv_url: z.url(),
  host_list_url: z.url().optional(),
  listen: listenSchema.prefault({}),
  operator: listenSchema.extend({ token: z.string().min(16, 'The token needs at least 16 characters.') }),
  statsd: z.strictObject({ host: z.string(), port: z.int().min(1).max(65_535) }).optional(),
  log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info')
}

const entrySchema = z.strictObject({
  role: z.literal('entry'),
  ...common,
  host_list_url: z.url(),
  balancer_notice_ms: z.int().min(0).max(600_000).default(2_000),
  max_body_bytes: z.int().min(1).max(64 << 20).default(1 << 20),
  max_open_requests: z.int().min(1).max(1_000_000).default(10_000)
})

const sidecarSchema = z.strictObject({
  role: z.literal('sidecar'),
  ...common,
  upstream: z.string().min(1),
  upstream_kind: z.enum(['model', 'plain']),
  upstream_url: z.url(),
  lease_ms: z.int().min(100).max(600_000).default(5_000)
})

export const settingsSchema = z.discriminatedUnion('role', [entrySchema, sidecarSchema])

/** Settings of an entry daemon. */
export type EntrySettings = z.infer<typeof entrySchema>
/** Settings of a sidecar daemon. */
export type SidecarSettings = z.infer<typeof sidecarSchema>
/** Settings of any daemon. */
export type Settings = EntrySettings | SidecarSettings

const settingsKeys = [...Object.keys(entrySchema.shape), ...Object.keys(sidecarSchema.shape)]

/**
 * Parses and validates a settings text.
 *
 * @param text - TOML text
 * @returns the settings, or every problem found with its line
 */
export function parseSettings (text: string): Result<Settings, readonly Problem[]> {
  const checked = checkText<Settings>(text, settingsSchema, settingsKeys)
  return checked.isErr() ? err(checked.error) : ok(checked.value.value)
}
