/**
 * `hazelford status` and `adapters`: current state of the processes.
 */
import type { CliContext } from '../cli-context.js'
import { exitCodes, type Report, report } from '../exit-code.js'
import { type Answer, queryProcesses, listHosts, type ProcessStatus } from '../processes.js'
import { formatTable } from '../table.js'

type StatusAnswers = readonly Answer<ProcessStatus>[]

async function queryStatus (ctx: CliContext): Promise<StatusAnswers | Report> {
  const hosts = await listHosts(ctx.connection)
  if ('error' in hosts) return report(exitCodes.unavailable, `The host list can't be reached (${hosts.error}).`)
  return queryProcesses<ProcessStatus>(hosts, '/status', ctx.connection.token)
}

function isReport (value: StatusAnswers | Report): value is Report { return 'code' in value }

function loadOf (status: ProcessStatus): string {
  const { report: load } = status
  if (load === undefined) return `${status.openRequests ?? 0} open`
  return `${load.running}/${load.places} running, ${load.queued} queued`
}

function slotsOf (status: ProcessStatus): string {
  const { report: load } = status
  return load === undefined || load.adapters.length === 0 ? '' : `${load.adapters.length}/${load.slots}`
}

function statusRow ({ host, value, error }: Answer<ProcessStatus>, newest: number): readonly string[] {
  if (value === undefined) return [host.name, host.role, host.zone, `unreachable: ${error ?? ''}`, '', '', '']
  const lag = newest - value.revision
  const revision = lag === 0 ? String(value.revision) : `${value.revision} (${lag} behind)`
  const state = host.state === 'leaving' ? `${value.state}, listed as leaving` : value.state
  return [host.name, host.role, host.zone, state, revision, loadOf(value), slotsOf(value)]
}

/** Shows the status of every process. */
export async function status (ctx: CliContext): Promise<Report> {
  const answers = await queryStatus(ctx)
  if (isReport(answers)) return answers
  const newest = Math.max(0, ...answers.map(answer => answer.value?.revision ?? 0))
  const rows = answers.map(answer => statusRow(answer, newest))
  const data = answers.map(({ host, value, error }) => ({ host, status: value, error }))
  return report(exitCodes.done, formatTable(['process', 'role', 'zone', 'state', 'revision', 'load', 'slots'], rows), data)
}

interface AdapterUse { readonly adapter: string, readonly where: string[], pins: number }

/** Shows which adapters are loaded on which upstreams. */
export async function adapters (ctx: CliContext): Promise<Report> {
  const answers = await queryStatus(ctx)
  if (isReport(answers)) return answers
  const uses = new Map<string, AdapterUse>()
  for (const { value } of answers) {
    for (const { adapter, state, pins } of value?.report?.adapters ?? []) {
      const use = uses.get(adapter) ?? { adapter, where: [], pins: 0 }
      use.where.push(state === 'loaded' ? value!.upstream! : `${value!.upstream!} (loading)`)
      use.pins += pins
      uses.set(adapter, use)
    }
  }
  const sorted = [...uses.values()].sort((a, b) => b.pins - a.pins || b.where.length - a.where.length || a.adapter.localeCompare(b.adapter))
  const rows = sorted.map(use => [use.adapter, String(use.pins), use.where.join(', ')])
  return report(exitCodes.done, formatTable(['adapter', 'requests', 'loaded at'], rows), sorted)
}
