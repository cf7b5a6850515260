/**
 * The state of running entries, as they answer operators at the port for their peers.
 */
import type { EntryAddress, Ms, OperatorView } from '@hazelford/core'
import { request } from 'undici'

/** The answers of all entries that are known. */
export interface EntryViews {
  readonly views: readonly OperatorView[]
  /** Entries that did not answer, with the cause. */
  readonly silent: readonly SilentEntry[]
}

/** An entry that did not answer. */
export interface SilentEntry {
  /** Its name; its address where it was given by address. */
  readonly entry: string
  readonly cause: string
}

const viewPath = '/operators/view'
const queryTimeout: Ms = 2_000

async function queryView (address: string): Promise<OperatorView | { readonly cause: string }> {
  try {
    const res = await request(`http://${address}${viewPath}`, { signal: AbortSignal.timeout(queryTimeout) })
    if (res.statusCode === 200) return await res.body.json() as OperatorView
    await res.body.dump()
    return { cause: res.statusCode === 404 ? 'its version does not answer operators' : `answered ${res.statusCode}` }
  } catch (error) {
    return { cause: (error as Error).message }
  }
}

function isView (answer: OperatorView | { readonly cause: string }): answer is OperatorView { return 'node' in answer }

/**
 * Queries the entries at some addresses, and all entries that those know.
 *
 * @param addresses - `HOST:PORT` of entries' ports for peers; one that answers is enough
 * @returns one answer of each entry
 */
export async function queryEntries (addresses: readonly string[]): Promise<EntryViews> {
  const asked = await Promise.all(addresses.map(async address => ({ address, answer: await queryView(address) })))
  const views = new Map(asked.flatMap(({ answer }) => isView(answer) ? [[answer.node, answer]] : []))
  const known = new Map([...views.values()].flatMap(({ entries }) => entries.map((entry): [string, EntryAddress] => [entry.node, entry])))
  const failed = asked.flatMap(({ address, answer }) => isView(answer) ? [] : [{ entry: address, cause: answer.cause }])
  const others = [...known.values()].filter(({ node }) => !views.has(node))
  const silent: SilentEntry[] = failed.filter(({ entry }) => !others.some(({ host, port }) => `${host}:${port}` === entry))
  await Promise.all(others.map(async ({ node, host, port }) => {
    const answer = await queryView(`${host}:${port}`)
    if (isView(answer)) views.set(answer.node, answer)
    else silent.push({ entry: node, cause: answer.cause })
  }))
  return { views: [...views.values()].sort((a, b) => a.node.localeCompare(b.node)), silent: silent.sort((a, b) => a.entry.localeCompare(b.entry)) }
}
