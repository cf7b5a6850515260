/**
 * Schema of the operators' configuration.
 */
import { trafficClasses } from '@hazelford/core'
import { z } from 'zod'

const methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
const callPattern = new RegExp(`^(${methods.join('|')}|\\*) /.*$`)
const defaultDeadlineMs = 30_000
const maxDeadlineMs = 600_000
const defaultQueueLimit = 256
const name = z.string().regex(/^[\w.-]+$/, 'A name has letters, digits, ".", "_" and "-" only. Rename it.')

const callRule = z.string().regex(callPattern, 'Write a method and a path prefix, such as "POST /reservations".')

export const serviceSchema = z.strictObject({
  kind: z.enum(['model', 'plain']),
  depends_on: z.array(name).default([]),
  class: z.enum(trafficClasses).default('interactive'),
  highest_class: z.enum(trafficClasses).optional(),
  idempotent: z.boolean().optional(),
  idempotent_calls: z.array(callRule).default(['GET /', 'HEAD /']),
  deadline_ms: z.int().min(1).max(maxDeadlineMs).default(defaultDeadlineMs),
  max_deadline_ms: z.int().min(1).max(maxDeadlineMs).default(maxDeadlineMs),
  queue_limit: z.int().min(1).max(100_000).default(defaultQueueLimit)
})

export const upstreamSchema = z.strictObject({
  service: name,
  fencing: z.enum(['checked', 'ignored']).default('ignored'),
  slots: z.int().min(1).max(10_000).default(4),
  places: z.int().min(1).max(10_000).default(8)
})

const adapterTable = z.strictObject({
  version: z.string().min(1),
  versions: z.array(z.string().min(1)).default([]),
  service: name.optional()
})

export const adapterSchema = z.union([z.string().min(1), adapterTable])

export const policySchema = z.strictObject({
  stall_weight: z.number().min(0).default(1),
  queue_weight: z.number().min(0).default(1),
  batch_weight: z.number().min(0).default(0.2),
  zone_penalty_ms: z.number().min(0).default(5),
  draft_linger_ms: z.number().min(0).max(10_000).default(0),
  retry_share: z.number().min(0).max(1).default(0.1),
  loads_per_second: z.number().positive().default(4),
  loads_at_once: z.int().min(1).default(1)
})

export const configSchema = z.strictObject({
  drained: z.array(name).default([]),
  policy: policySchema.prefault({}),
  services: z.record(name, serviceSchema),
  upstreams: z.record(name, upstreamSchema).default({}),
  adapters: z.record(name, adapterSchema).default({})
})

/** Key names of the configuration, for suggestions. */
export const configKeys: readonly string[] = [
  ...Object.keys(configSchema.shape),
  ...Object.keys(serviceSchema.shape),
  ...Object.keys(upstreamSchema.shape),
  ...Object.keys(policySchema.shape),
  ...Object.keys(adapterTable.shape)
]

/** Weights and limits used in routing, retries and adapter loads. */
export type Policy = z.infer<typeof policySchema>
/** The configuration as written, with defaults applied. */
export type RawConfig = z.infer<typeof configSchema>
