/**
 * References to one version of an adapter.
 */

/** An adapter and the version that a request uses. */
export interface AdapterRef {
  readonly name: string
  readonly version: string
}

/** `name@version`, used as a key and in the interface for callers. */
export type AdapterKey = string

/**
 * Formats a reference.
 *
 * @param ref - adapter and version
 * @returns `name@version`
 */
export function adapterKey (ref: AdapterRef): AdapterKey {
  return `${ref.name}@${ref.version}`
}

/**
 * Splits the `model` field of a caller's request.
 *
 * @param model - `name` or `name@version`
 * @returns the name, and the version when one was given
 */
export function parseModel (model: string): { readonly name: string, readonly version?: string } {
  const at = model.lastIndexOf('@')
  if (at <= 0 || at === model.length - 1) return { name: model }
  return { name: model.slice(0, at), version: model.slice(at + 1) }
}
