/**
 * Names under which adapters are loaded in an engine.
 */
import type { AdapterKey } from '@hazelford/core'

/** Which load of an adapter an engine-side name stands for. */
export interface EngineName {
  readonly adapter: AdapterKey
  /** Fencing number of the sidecar that loaded it. */
  readonly number: number
  /** Grows with each load by that sidecar. */
  readonly generation: number
}

const namePattern = /^(.+)#(\d+)\.(\d+)$/

/**
 * Formats an engine-side name: `adapter@version#number.generation`.
 *
 * A stale holder's late unload, or our own unload whose reply was lost, can reach the
 * engine after the adapter was loaded again. Each load has a name of its own, so such
 * an order can't hit what is in use now.
 */
export function formatEngineName (name: EngineName): string {
  return `${name.adapter}#${name.number}.${name.generation}`
}

/**
 * Reads an engine-side name.
 *
 * @param text - a model id that the engine lists
 * @returns its parts, or undefined for a model that hazelford did not load
 */
export function parseEngineName (text: string): EngineName | undefined {
  const match = namePattern.exec(text)
  if (match === null) return undefined
  return { adapter: match[1]!, number: Number(match[2]), generation: Number(match[3]) }
}
