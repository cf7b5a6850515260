/**
 * Client of the platform's key-value service.
 *
 * Protocol: the HTTP interface of Consul's KV store (`/v1/kv/:key` with `?cas`,
 * `?index` and `?wait`), as published in its documentation.
 */
import type { AnswerLimits, Ms, TransferLimits } from '@hazelford/core'
import { ResultAsync } from 'neverthrow'
import { type Dispatcher, Pool } from 'undici'
import { requestText, type TextAnswer } from './request-text.js'

/** A stored value with the index for a compare-and-swap. */
export interface KvEntry {
  readonly key: string
  readonly value: string
  /** Changes with each write of this key; 0 means that the key does not exist. */
  readonly modifyIndex: number
}

/** Result of a read. */
export interface KvRead {
  readonly entry: KvEntry | undefined
  /** Index of the store at the time of the read, for the next watch. */
  readonly index: number
}

/**
 * Why a call failed.
 *
 * - `not-applied`: the call did not reach the service, so a write did not take effect.
 * - `unknown`: no reply came; a write may have taken effect.
 */
export interface KvFailure {
  readonly kind: 'not-applied' | 'unknown'
  readonly message: string
}

/** Outcome of a compare-and-swap whose reply was received. */
export type CasOutcome = 'stored' | 'conflict'

/** Operations of the key-value service that the system uses. */
export interface KvClient {
  read: (key: string) => ResultAsync<KvRead, KvFailure>
  /** Waits until the key changes after `index`, at most `wait` ms. */
  watch: (key: string, index: number, wait: Ms, signal?: AbortSignal) => ResultAsync<KvRead, KvFailure>
  list: (prefix: string) => ResultAsync<readonly KvEntry[], KvFailure>
  /** Stores only if the key still has `index`; 0 means only if it does not exist. */
  cas: (key: string, index: number, value: string) => ResultAsync<CasOutcome, KvFailure>
  /** Removes only if the key still has `index`. */
  remove: (key: string, index: number) => ResultAsync<CasOutcome, KvFailure>
}

interface WireEntry { readonly Key: string, readonly Value: string | null, readonly ModifyIndex: number }

const callTimeout: Ms = 1_000
/** Longest ms for which an answer may arrive. */
const longestTransfer: Ms = 15_000
const connectionsLimit = 16

/** Codes of connection failures that occur before any byte of the call is sent. */
const neverSentCodes = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EHOSTUNREACH'])

function toFailure (error: unknown): KvFailure {
  const cause = error as { code?: string, message?: string }
  const kind = neverSentCodes.has(cause.code ?? '') ? 'not-applied' : 'unknown'
  return { kind, message: cause.message ?? String(error) }
}

function decodeEntry (wire: WireEntry): KvEntry {
  const value = wire.Value === null ? '' : Buffer.from(wire.Value, 'base64').toString('utf8')
  return { key: wire.Key, value, modifyIndex: wire.ModifyIndex }
}

class ServiceError extends Error {}

/**
 * Creates a client. Connections are opened on first use.
 *
 * @param url - base URL of the service
 * @param timeout - ms until the answer of a call begins, and longest pause within it
 */
export function createKvClient (url: string, timeout: Ms = callTimeout): KvClient {
  const pool = new Pool(url, { connections: connectionsLimit, connect: { timeout }, headersTimeout: 0, bodyTimeout: 0 })

  // A configuration grows with the deployment, so reads of it are limited by their progress.
  const transfer: TransferLimits = { pause: timeout, total: longestTransfer }

  async function call (method: Dispatcher.HttpMethod, path: string, limits: AnswerLimits, body?: string, signal?: AbortSignal): Promise<TextAnswer> {
    const answer = await requestText(pool, { method, path, body }, limits, signal)
    if (answer.status >= 500) throw new ServiceError(`The key-value service answered ${answer.status}.`)
    return answer
  }

  async function readEntries (path: string, limit: Ms, signal?: AbortSignal): Promise<{ entries: KvEntry[], index: number }> {
    const { status, headers, text } = await call('GET', path, { timeout: limit, transfer }, undefined, signal)
    const index = Number(headers['x-consul-index'] ?? 0)
    if (status === 404) return { entries: [], index }
    const wires = JSON.parse(text) as WireEntry[]
    return { entries: wires.map(decodeEntry), index }
  }

  const readOne = async (path: string, limit: Ms, signal?: AbortSignal): Promise<KvRead> => {
    const { entries, index } = await readEntries(path, limit, signal)
    return { entry: entries[0], index }
  }

  async function outcomeOf (method: 'PUT' | 'DELETE', path: string, body?: string): Promise<CasOutcome> {
    const { status, text } = await call(method, path, { timeout }, body)
    if (status !== 200) throw new ServiceError(`The key-value service answered ${status}.`)
    // Any other text may be a part of an answer that was cut short.
    switch (text.trim()) {
      case 'true': return 'stored'
      case 'false': return 'conflict'
      default: throw new ServiceError('The key-value service answered a write with neither true nor false.')
    }
  }

  return {
    read: key => ResultAsync.fromPromise(readOne(`/v1/kv/${key}`, timeout), toFailure),
    watch: (key, index, wait, signal) => ResultAsync.fromPromise(
      readOne(`/v1/kv/${key}?index=${index}&wait=${wait}ms`, wait + timeout, signal), toFailure),
    list: prefix => ResultAsync.fromPromise(
      readEntries(`/v1/kv/${prefix}?recurse=true`, timeout).then(read => read.entries), toFailure),
    cas: (key, index, value) => ResultAsync.fromPromise(outcomeOf('PUT', `/v1/kv/${key}?cas=${index}`, value), toFailure),
    remove: (key, index) => ResultAsync.fromPromise(outcomeOf('DELETE', `/v1/kv/${key}?cas=${index}`), toFailure)
  }
}
