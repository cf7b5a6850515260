/**
 * Names under which adapters are loaded in an engine.
 */
import type { AdapterKey } from '@hazelford/core'

/** Parts of an engine-side name, which identifies one load of an adapter. */
export interface EngineName {
  readonly adapter: AdapterKey
  /** Fencing number of the sidecar that loaded it. */
  readonly number: number
  /** Increases with each load by that sidecar. */
  readonly generation: number
}

const namePattern = /^(.+)#(\d+)\.(\d+)$/

/**
 * Formats an engine-side name: `adapter@version#number.generation`.
 *
 * An unload order of a superseded sidecar, or one of this sidecar whose reply was lost, can
 * reach the engine after the adapter was loaded again. Each load has a name of its own, so such
 * an order can't unload an adapter that is in use.
 */
export function formatEngineName (name: EngineName): string {
  return `${name.adapter}#${name.number}.${name.generation}`
}

/**
 * Parses an engine-side name.
 *
 * @param text - a model id that the engine lists
 * @returns its parts, or undefined for a model that hazelford did not load
 */
export function parseEngineName (text: string): EngineName | undefined {
  const match = namePattern.exec(text)
  if (match === null) return undefined
  return { adapter: match[1]!, number: Number(match[2]), generation: Number(match[3]) }
}
