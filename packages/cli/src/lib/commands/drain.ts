/**
 * `hazelford drain` and `undrain`: stop sending new work to an upstream, and resume it.
 */
import { type Config, parseConfig } from '@hazelford/config'
import type { CliContext } from '../cli-context.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { changeConfig } from './apply.js'

const drainedLine = /^drained\s*=\s*\[[^\]]*\]/m

/** Replaces or adds the list of drained upstreams in a configuration text. */
function withDrained (text: string, names: readonly string[]): string {
  const line = `drained = [${names.map(name => `"${name}"`).join(', ')}]`
  return drainedLine.test(text) ? text.replace(drainedLine, line) : `${line}\n${text}`
}

/** Warns of a service that is left without an upstream, and of the services that depend on it. */
function warnings (config: Config, name: string, drained: readonly string[]): readonly string[] {
  const { service } = config.upstreams.get(name)!
  const remaining = [...config.upstreams.values()].filter(other => other.service === service && !drained.includes(other.name))
  if (remaining.length > 0) return []
  const dependants = [...config.services.values()].filter(other => other.dependsOn.includes(service)).map(other => other.name)
  const also = dependants.length === 0 ? '' : ` Services that depend on it refuse requests too: ${dependants.join(', ')}.`
  return [`Warning: "${service}" has no other upstream; its requests are refused and do not run.${also}`]
}

/**
 * Drains an upstream, or undrains it.
 *
 * @param ctx - connections, operator and clock of the invocation
 * @param name - the upstream
 * @param drain - true to drain, false to undrain
 * @param wait - whether to wait until it is in force
 */
export async function setDrain (ctx: CliContext, name: string, drain: boolean, wait: boolean): Promise<Report> {
  const base = await ctx.store.read()
  if (base.isErr()) return report(exitCodes.unavailable, `The key-value service can't be reached (${base.error}). Nothing was changed.`)
  const text = base.value.doc?.text ?? ''
  const config = parseConfig(text)
  if (config.isErr() || !config.value.upstreams.has(name)) {
    const known = config.isOk() ? [...config.value.upstreams.keys()].join(', ') : ''
    return report(exitCodes.badInput, `No upstream "${name}" is configured. Configured upstreams: ${known}.`)
  }
  const before = [...config.value.upstreams.values()].filter(upstream => upstream.drained).map(upstream => upstream.name)
  if (before.includes(name) === drain) return report(exitCodes.done, `"${name}" is ${drain ? 'drained' : 'not drained'} already. Nothing was changed.`)
  const after = drain ? [...before, name] : before.filter(other => other !== name)
  for (const warning of drain ? warnings(config.value, name, after) : []) ctx.progress(warning)
  return changeConfig(ctx, base.value, withDrained(text, after), wait)
}
