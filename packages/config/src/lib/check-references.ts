/**
 * Checks that names refer to something and that dependencies have no cycle.
 */
import { lineOf } from './line-index.js'
import { nearestName } from './nearest-name.js'
import type { Problem } from './problem.js'
import type { RawConfig } from './schema.js'

type Lines = ReadonlyMap<string, number>

function unknownName (kind: string, name: string, known: readonly string[], remedy: string): string {
  const near = nearestName(name, known)
  const hint = near === undefined ? remedy : `Did you mean "${near}"?`
  return `refers to "${name}", but no ${kind} of that name is defined. ${hint}`
}

function checkDependencies (raw: RawConfig, lines: Lines): Problem[] {
  const names = Object.keys(raw.services)
  const problems: Problem[] = []
  for (const [name, service] of Object.entries(raw.services)) {
    const path = ['services', name, 'depends_on']
    for (const dependency of service.depends_on) {
      if (names.includes(dependency)) continue
      problems.push({ line: lineOf(lines, path), path: path.join('.'), message: unknownName('service', dependency, names, `Add [services.${dependency}] or remove it.`) })
    }
  }
  return problems
}

/** Follows dependencies from the last service of a path and returns the first cycle found. */
function findCycle (raw: RawConfig, path: readonly string[]): readonly string[] | undefined {
  const current = path[path.length - 1]!
  for (const dependency of raw.services[current]?.depends_on ?? []) {
    const at = path.indexOf(dependency)
    if (at >= 0) return [...path.slice(at), dependency]
    const deeper = findCycle(raw, [...path, dependency])
    if (deeper !== undefined) return deeper
  }
  return undefined
}

function checkCycles (raw: RawConfig, lines: Lines): Problem[] {
  for (const name of Object.keys(raw.services)) {
    const cycle = findCycle(raw, [name])
    if (cycle === undefined) continue
    const path = ['services', cycle[0]!, 'depends_on']
    return [{ line: lineOf(lines, path), path: path.join('.'), message: `is a cycle: ${cycle.join(' -> ')}. Remove one of these dependencies.` }]
  }
  return []
}

function checkUpstreams (raw: RawConfig, lines: Lines): Problem[] {
  const services = Object.keys(raw.services)
  const upstreams = Object.keys(raw.upstreams)
  const problems: Problem[] = []
  for (const [name, upstream] of Object.entries(raw.upstreams)) {
    if (services.includes(upstream.service)) continue
    const path = ['upstreams', name, 'service']
    problems.push({ line: lineOf(lines, path), path: path.join('.'), message: unknownName('service', upstream.service, services, `Add [services.${upstream.service}] or change it.`) })
  }
  for (const name of raw.drained) {
    if (upstreams.includes(name)) continue
    problems.push({ line: lineOf(lines, ['drained']), path: 'drained', message: unknownName('upstream', name, upstreams, 'Remove it.') })
  }
  return problems
}

function checkAdapters (raw: RawConfig, lines: Lines): Problem[] {
  const models = Object.entries(raw.services).filter(([, service]) => service.kind === 'model').map(([name]) => name)
  const problems: Problem[] = []
  for (const [name, entry] of Object.entries(raw.adapters)) {
    const service = typeof entry === 'string' ? undefined : entry.service
    const path = ['adapters', name]
    const at = { line: lineOf(lines, path), path: path.join('.') }
    if (service !== undefined && !models.includes(service)) {
      problems.push({ ...at, message: unknownName('model service', service, models, 'Name a service of kind "model".') })
    }
    if (service === undefined && models.length !== 1) {
      problems.push({ ...at, message: `needs service = "...", since there are ${models.length} services of kind "model".` })
    }
  }
  return problems
}

/**
 * Checks the references between keys, which a schema can't check.
 *
 * @param raw - a configuration that matches the schema
 * @param lines - line of each key
 * @returns every problem found
 */
export function checkReferences (raw: RawConfig, lines: Lines): readonly Problem[] {
  return [
    ...checkDependencies(raw, lines),
    ...checkCycles(raw, lines),
    ...checkUpstreams(raw, lines),
    ...checkAdapters(raw, lines)
  ]
}
