/**
 * Settings of an entry that sends to upstreams directly.
 */
import { checkText, type Problem } from '@hazelford/config'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'

const address = z.string().regex(/^[\d.]+:\d+$/, 'An address is an IPv4 number, a colon and a port.')

const schema = z.strictObject({
  name: z.string().min(1),
  zone: z.string().min(1),
  host: z.string().min(1),
  store: address,
  listen_callers: address,
  listen_ready: address,
  /** Port on which the entries speak to each other. */
  peer_port: z.int().min(0).max(65_535),
  metrics_port: z.int().min(0).max(65_535),
  /** Where peers may be found while the store is away. */
  seeds: z.array(address).default([]),
  listen_control: z.string().default(''),
  grace_s: z.number().min(0).max(600).default(8),
  retry_budget_ratio: z.number().min(0).max(10).default(0.2),
  retry_budget_slack: z.number().min(0).default(10),
  budget_window_s: z.number().min(0.1).max(600).default(10),
  version_ms: z.number().min(0).default(5_000)
})

/** Checked settings. */
export type DirectSettings = z.infer<typeof schema>

/**
 * Checks a settings text.
 *
 * @param text - TOML
 * @returns the settings, or every problem found with its line
 */
export function parseDirectSettings (text: string): Result<DirectSettings, readonly Problem[]> {
  const checked = checkText<DirectSettings>(text, schema, Object.keys(schema.shape))
  return checked.isErr() ? err(checked.error) : ok(checked.value.value)
}

/** Splits an address that was checked. */
export function splitAddress (text: string): { readonly host: string, readonly port: number } {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Settings that take effect at a start only: sockets are open, and peers know them. */
export const addressSettings = ['name', 'zone', 'host', 'store', 'listen_callers', 'listen_ready', 'listen_control', 'peer_port', 'metrics_port'] as const

/** Those settings of a process that runs. */
export function pickAddresses (settings: DirectSettings): Pick<DirectSettings, typeof addressSettings[number]> {
  return Object.fromEntries(addressSettings.map(name => [name, settings[name]])) as Pick<DirectSettings, typeof addressSettings[number]>
}
