/**
 * Settings of an entry that sends to upstreams directly.
 */
import { checkText, type Problem } from '@hazelford/config'
import { err, ok, type Result } from 'neverthrow'
import en from 'zod/v4/locales/en.js'
import * as z from 'zod/mini'

// `zod/mini` has no error messages unless a language is configured.
z.config(en())

const address = z.string().check(z.regex(/^[\d.]+:\d+$/, 'An address is an IPv4 number, a colon and a port.'))
const name = z.string().check(z.minLength(1))
const port = z.int().check(z.minimum(0), z.maximum(65_535))

function atLeast (least: number): z.ZodMiniNumber { return z.number().check(z.minimum(least)) }

const schema = z.strictObject({
  name,
  zone: name,
  host: name,
  store: address,
  listen_callers: address,
  listen_ready: address,
  /** Port on which the entries communicate. */
  peer_port: port,
  /** Port at which the other entries reach `peer_port`, where ports are translated between them; 0 when they are not. */
  advertised_peer_port: z._default(port, 0),
  metrics_port: port,
  /** Addresses of peers that can be asked during an outage of the store. */
  seeds: z._default(z.array(address), []),
  /** Address at which starting peers find this entry; empty when it is not a seed. */
  listen_control: z._default(z.string(), ''),
  /** Seconds from the signal to stop to the end of the process. */
  grace_s: z._default(atLeast(0), 8),
  /** Retries to a service for each request, over all entries. */
  retry_budget_ratio: z._default(atLeast(0), 0.2),
  /** Additional retries to a service in each window, over all entries. */
  retry_budget_slack: z._default(atLeast(0), 10),
  budget_window_s: z._default(atLeast(0.1), 10),
  /** Ms within which an accepted change of the configuration must be in force; also limits how often the store is polled. */
  apply_within_ms: z._default(atLeast(100), 2_000),
  /** Rate of the host's link in Mbit/s, 0 where it is not known; entries with fast links are the first to watch the store. */
  link_mbps: z._default(atLeast(0), 0),
  /** Share of a core that the host provides, 0 where it is not known. */
  cpu_share: z._default(atLeast(0), 0),
  /** Speed of that core, relative to that of the other hosts. */
  cpu_speed: z._default(atLeast(0), 1),
  /** Memory of the process in MiB, 0 where it is not known; a share of it holds callers' bodies. */
  memory_mb: z._default(atLeast(0), 0),
  /**
   * Ms after the withdrawal of a key within which every entry refuses it, also an entry that is cut off; 0 lets such an
   * entry go on with the configuration that it has.
   */
  withdraw_within_ms: z._default(atLeast(0), 0),
  /** Window over which usage limits apply. */
  usage_window_s: z._default(atLeast(0.1), 8),
  /** Share of a window's usage by which a limit may be exceeded at most. */
  usage_overage: z._default(atLeast(0), 0.1),
  /** Additional requests or tokens, in the limit's unit. */
  usage_slack: z._default(atLeast(0), 0),
  /** Upstreams that may terminate while running one request before it is quarantined at all entries. */
  quarantine_after: z._default(z.int().check(z.minimum(1)), 3),
  /** Seconds for which such a request is quarantined. */
  quarantine_s: z._default(z.number().check(z.minimum(1), z.maximum(600)), 600),
  /** Ms within which the orders of two holders to one engine must not alternate: A, then B, then A again. */
  holder_turn_ms: z._default(atLeast(0), 3_000)
})

/** Checked settings. */
export type DirectSettings = z.infer<typeof schema>

/**
 * Checks the text of a settings file.
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

/** Settings that take effect only at a start: sockets are open, and peers know the addresses. */
export const addressSettings = ['name', 'zone', 'host', 'store', 'listen_callers', 'listen_ready', 'listen_control', 'peer_port', 'advertised_peer_port', 'metrics_port', 'link_mbps', 'cpu_share', 'cpu_speed', 'memory_mb'] as const

/** Picks the address settings of a running process. */
export function pickAddresses (settings: DirectSettings): Pick<DirectSettings, typeof addressSettings[number]> {
  return Object.fromEntries(addressSettings.map(name => [name, settings[name]])) as Pick<DirectSettings, typeof addressSettings[number]>
}
