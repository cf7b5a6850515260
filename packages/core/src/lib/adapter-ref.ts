/**
 * Names an adapter in one version.
 */

/** An adapter and the version a request runs on. */
export interface AdapterRef {
  readonly name: string
  readonly version: string
}

/** `name@version`, the form used as a key and towards callers. */
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
 * Splits what a caller wrote as `model`.
 *
 * @param model - `name` or `name@version`
 * @returns the name, and the version when one was given
 */
export function parseModel (model: string): { readonly name: string, readonly version?: string } {
  const at = model.lastIndexOf('@')
  if (at <= 0 || at === model.length - 1) return { name: model }
  return { name: model.slice(0, at), version: model.slice(at + 1) }
}
