/**
 * Generates configuration texts for fleets.
 */

/** The contents of a fleet's configuration. */
export interface FleetConfig {
  readonly models: readonly { readonly name: string, readonly fencing: 'checked' | 'ignored' }[]
  readonly plains: readonly string[]
  readonly slots: number
  /** Batch slots of an engine. */
  readonly places: number
  readonly adapters: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  readonly drained?: readonly string[]
}

/** Name of the adapter with a popularity rank; 0 is the most popular. */
export function adapterName (rank: number): string { return `branch-${String(rank).padStart(5, '0')}` }

/**
 * Generates a configuration text.
 *
 * @param fleet - contents of the configuration
 */
export function configText (fleet: FleetConfig): string {
  const drained = (fleet.drained ?? []).map(name => `"${name}"`).join(', ')
  const models = fleet.models.map(({ name, fencing }) =>
    `[upstreams.${name}]\nservice = "chat"\nfencing = "${fencing}"\nslots = ${fleet.slots}\nplaces = ${fleet.places}\n`)
  const plains = fleet.plains.map(name => `[upstreams.${name}]\nservice = "booking"\nplaces = 64\n`)
  const adapters = Array.from({ length: fleet.adapters }, (_, rank) =>
    `${adapterName(rank)} = { version = "2", versions = ["1"] }`)
  return `drained = [${drained}]

[policy]
loads_per_second = ${fleet.loadsPerSecond}
loads_at_once = ${fleet.loadsAtOnce}

[services.chat]
kind = "model"
class = "interactive"
deadline_ms = 30000

[services.booking]
kind = "plain"
class = "booking"
deadline_ms = 10000

${models.join('\n')}
${plains.join('\n')}
[adapters]
${adapters.join('\n')}
`
}
