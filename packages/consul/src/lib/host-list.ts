/**
 * Client of the platform's list of hosts.
 *
 * Protocol: Consul's `/v1/health/service/:name` with blocking queries. A host that
 * is not `passing` is leaving.
 */
import type { Ms, TransferLimits } from '@hazelford/core'
import { ResultAsync } from 'neverthrow'
import { Pool } from 'undici'
import type { KvFailure } from './kv-client.js'
import { requestText } from './request-text.js'

/** A host as the platform lists it. The list may be out of date. */
export interface Host {
  readonly name: string
  readonly role: 'entry' | 'sidecar'
  readonly zone: string
  /** Address at which its processes listen for other processes of the system. */
  readonly address: string
  readonly port: number
  /** Port of the operator interface. */
  readonly operatorPort: number
  readonly state: 'live' | 'leaving'
}

/** The host list at one index. */
export interface HostList {
  readonly hosts: readonly Host[]
  readonly index: number
}

interface WireHost {
  readonly Service: { readonly ID: string, readonly Address: string, readonly Port: number, readonly Meta: { readonly role: string, readonly zone: string, readonly operator_port: string } }
  readonly Checks: readonly { readonly Status: string }[]
}

/** Name under which the platform lists all processes of the system. */
export const hostServiceName = 'hazelford'

const callTimeout: Ms = 2_000
/** The list grows with the number of hosts, so it is limited by its progress. */
const listTransfer: TransferLimits = { pause: callTimeout, total: 15_000 }

function decodeHost (wire: WireHost): Host {
  const { ID, Address, Port, Meta } = wire.Service
  return {
    name: ID,
    role: Meta.role === 'entry' ? 'entry' : 'sidecar',
    zone: Meta.zone,
    address: Address,
    port: Port,
    operatorPort: Number(Meta.operator_port),
    state: wire.Checks.every(check => check.Status === 'passing') ? 'live' : 'leaving'
  }
}

/** Operations of the host list that the system uses. */
export interface HostListClient {
  /** Waits until the list changes after `index`, at most `wait` ms; index 0 answers at once. */
  watch: (index: number, wait: Ms, signal?: AbortSignal) => ResultAsync<HostList, KvFailure>
}

/**
 * Creates a client of the host list.
 *
 * @param url - base URL of the list
 */
export function createHostListClient (url: string): HostListClient {
  const pool = new Pool(url, { connections: 2, headersTimeout: 0, bodyTimeout: 0 })
  const load = async (index: number, wait: Ms, signal?: AbortSignal): Promise<HostList> => {
    const req = { method: 'GET', path: `/v1/health/service/${hostServiceName}?index=${index}&wait=${wait}ms` } as const
    const { status, headers, text } = await requestText(pool, req, { timeout: wait + callTimeout, transfer: listTransfer }, signal)
    if (status !== 200) throw new Error(`The host list answered ${status}.`)
    const wires = JSON.parse(text) as WireHost[]
    return { hosts: wires.map(decodeHost), index: Number(headers['x-consul-index'] ?? 0) }
  }
  return {
    watch: (index, wait, signal) => ResultAsync.fromPromise(load(index, wait, signal), error =>
      ({ kind: 'unknown', message: (error as Error).message }))
  }
}
