/**
 * Configuration texts for fleets.
 */

/** What the operators of a fleet describe. */
export interface FleetConfig {
  readonly models: readonly { readonly name: string, readonly fencing: 'checked' | 'ignored' }[]
  readonly plains: readonly string[]
  readonly slots: number
  readonly places: number
  readonly adapters: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  readonly drained?: readonly string[]
}

/** Name of an adapter by popularity, 0 first. */
export function adapterName (rank: number): string { return `branch-${String(rank).padStart(5, '0')}` }

/**
 * Writes a configuration.
 *
 * @param fleet - what it describes
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
