/**
 * The processes of the system, as the host list names them and as their operator interfaces
 * report their state.
 */
import type { Ms, TimelineEvent } from '@hazelford/core'
import { createHostListClient, type Host } from '@hazelford/consul'
import { request } from 'undici'

/** Addresses and operator token that a command uses. */
export interface Connection {
  readonly kvUrl: string
  readonly hostListUrl: string
  readonly token: string
}

/** A process and its answer; `value` is undefined when the process could not be reached. */
export interface Answer<T> {
  readonly host: Host
  readonly value: T | undefined
  readonly error?: string
}

/** The status that a process reports of itself. */
export interface ProcessStatus {
  readonly role: 'entry' | 'sidecar'
  readonly name: string
  readonly zone: string
  readonly state: string
  readonly revision: number
  readonly openRequests?: number
  readonly upstream?: string
  readonly fencingNumber?: number
  readonly report?: {
    readonly running: number
    readonly queued: number
    readonly places: number
    readonly slots: number
    readonly loadsWaiting: number
    readonly loadMs: number
    readonly adapters: readonly { readonly adapter: string, readonly state: string, readonly pins: number }[]
  }
}

/** Events of one process, and how many its ring buffer has dropped. */
export interface ProcessTimeline {
  readonly dropped: number
  readonly events: readonly TimelineEvent[]
}

const queryTimeout: Ms = 2_000

/**
 * Lists the hosts.
 *
 * @param connection - address of the host list
 * @returns the hosts, or the error that prevented reading them
 */
export async function listHosts (connection: Connection): Promise<readonly Host[] | { readonly error: string }> {
  const list = await createHostListClient(connection.hostListUrl).watch(0, 0)
  if (list.isErr()) return { error: list.error.message }
  return [...list.value.hosts].sort((a, b) => a.role.localeCompare(b.role) || a.name.localeCompare(b.name))
}

async function queryProcess<T> (host: Host, path: string, token: string): Promise<Answer<T>> {
  try {
    const res = await request(`http://${host.address}:${host.operatorPort}${path}`, {
      headers: { authorization: `Bearer ${token}` },
      signal: AbortSignal.timeout(queryTimeout)
    })
    if (res.statusCode === 200) return { host, value: await res.body.json() as T }
    await res.body.dump()
    const hint = res.statusCode === 401 ? 'wrong token; set HAZELFORD_TOKEN' : `answered ${res.statusCode}`
    return { host, value: undefined, error: hint }
  } catch (error) {
    return { host, value: undefined, error: (error as Error).message }
  }
}

/**
 * Queries the operator interface of each host's process.
 *
 * @param hosts - the hosts to query
 * @param path - path in the operator interface
 * @param token - operator token
 */
export function queryProcesses<T> (hosts: readonly Host[], path: string, token: string): Promise<readonly Answer<T>[]> {
  return Promise.all(hosts.map(host => queryProcess<T>(host, path, token)))
}
