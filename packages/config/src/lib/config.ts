/**
 * The validated configuration.
 */
import { type AdapterRef, classRank, type TrafficClass } from '@hazelford/core'
import { err, ok, type Result } from 'neverthrow'
import { checkText } from './checked-text.js'
import { checkReferences } from './check-references.js'
import type { Problem } from './problem.js'
import { configKeys, configSchema, type Policy, type RawConfig } from './schema.js'

/** A service: a group of interchangeable upstreams. */
export interface Service {
  readonly name: string
  readonly kind: 'model' | 'plain'
  readonly dependsOn: readonly string[]
  /** Class of a request that does not name one: the service's own class, or that of a more urgent dependant. */
  readonly trafficClass: TrafficClass
  /** Most urgent class that a caller may request. */
  readonly highestClass: TrafficClass
  /** Calls that may run twice, as `METHOD /prefix`; `*` matches any method. */
  readonly idempotentCalls: readonly string[]
  readonly deadlineMs: number
  readonly maxDeadlineMs: number
  readonly queueLimit: number
}

/** One upstream, as configured by the operators. */
export interface Upstream {
  readonly name: string
  readonly service: string
  /** Whether the engine refuses load and unload orders with an old fencing number. */
  readonly fencing: 'checked' | 'ignored'
  /** Adapter slots of the engine. */
  readonly slots: number
  /** Batch slots: requests that the upstream runs at once. */
  readonly places: number
  readonly drained: boolean
}

/** An adapter: its default version and all versions that may be requested. */
export interface Adapter {
  readonly name: string
  readonly version: string
  readonly versions: readonly string[]
  readonly service: string
}

/** A complete, validated configuration. */
export interface Config {
  readonly policy: Policy
  readonly services: ReadonlyMap<string, Service>
  readonly upstreams: ReadonlyMap<string, Upstream>
  readonly adapters: ReadonlyMap<string, Adapter>
}

function moreUrgent (a: TrafficClass, b: TrafficClass): TrafficClass {
  return classRank(a) <= classRank(b) ? a : b
}

/** Raises the class of each dependency to the most urgent class of its dependants. */
function inheritClasses (raw: RawConfig): ReadonlyMap<string, TrafficClass> {
  const classes = new Map(Object.entries(raw.services).map(([name, service]) => [name, service.class]))
  const raise = (name: string, to: TrafficClass): void => {
    classes.set(name, moreUrgent(classes.get(name)!, to))
    for (const dependency of raw.services[name]!.depends_on) raise(dependency, classes.get(name)!)
  }
  for (const name of classes.keys()) raise(name, classes.get(name)!)
  return classes
}

function buildServices (raw: RawConfig): ReadonlyMap<string, Service> {
  const classes = inheritClasses(raw)
  const services = new Map<string, Service>()
  for (const [name, service] of Object.entries(raw.services)) {
    const trafficClass = classes.get(name)!
    const everyCall = service.idempotent ?? service.kind === 'model'
    services.set(name, {
      name,
      kind: service.kind,
      dependsOn: service.depends_on,
      trafficClass,
      highestClass: service.highest_class === undefined ? trafficClass : moreUrgent(service.highest_class, trafficClass),
      idempotentCalls: everyCall ? ['* /'] : service.idempotent_calls,
      deadlineMs: Math.min(service.deadline_ms, service.max_deadline_ms),
      maxDeadlineMs: service.max_deadline_ms,
      queueLimit: service.queue_limit
    })
  }
  return services
}

function buildUpstreams (raw: RawConfig): ReadonlyMap<string, Upstream> {
  const drained = new Set(raw.drained)
  return new Map(Object.entries(raw.upstreams).map(([name, upstream]) =>
    [name, { name, ...upstream, drained: drained.has(name) }]))
}

function buildAdapters (raw: RawConfig): ReadonlyMap<string, Adapter> {
  const onlyModel = Object.entries(raw.services).find(([, service]) => service.kind === 'model')?.[0] ?? ''
  const adapters = new Map<string, Adapter>()
  for (const [name, entry] of Object.entries(raw.adapters)) {
    const table = typeof entry === 'string' ? { version: entry, versions: [], service: undefined } : entry
    adapters.set(name, {
      name,
      version: table.version,
      versions: [...new Set([table.version, ...table.versions])],
      service: table.service ?? onlyModel
    })
  }
  return adapters
}

/**
 * Parses and validates a configuration text.
 *
 * @param text - TOML text
 * @returns the configuration, or every problem found with its line
 */
export function parseConfig (text: string): Result<Config, readonly Problem[]> {
  const checked = checkText(text, configSchema, configKeys)
  if (checked.isErr()) return err(checked.error)
  const { value: raw, lines } = checked.value
  const problems = checkReferences(raw, lines)
  if (problems.length > 0) return err(problems)
  return ok({ policy: raw.policy, services: buildServices(raw), upstreams: buildUpstreams(raw), adapters: buildAdapters(raw) })
}

/**
 * Whether a call may run twice.
 *
 * @param service - service that is called
 * @param method - HTTP method
 * @param path - path below the service, from `/`
 */
export function isIdempotentCall (service: Service, method: string, path: string): boolean {
  return service.idempotentCalls.some(rule => {
    const [ruleMethod, prefix] = rule.split(' ', 2) as [string, string]
    return (ruleMethod === '*' || ruleMethod === method) && path.startsWith(prefix)
  })
}

/**
 * Finds the adapter and version that a caller's `model` refers to.
 *
 * @param config - configuration in force when the request arrived
 * @param name - name of the adapter
 * @param version - requested version; undefined for the default version
 * @returns the reference, or undefined when the configuration has no such adapter or version
 */
export function findAdapter (config: Config, name: string, version?: string): AdapterRef | undefined {
  const adapter = config.adapters.get(name)
  if (adapter === undefined) return undefined
  const requested = version ?? adapter.version
  return adapter.versions.includes(requested) ? { name, version: requested } : undefined
}
