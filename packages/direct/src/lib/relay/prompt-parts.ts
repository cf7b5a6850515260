/**
 * Identity of the parts of a prompt that several requests may have in common.
 */
import type { CallMetadata } from '@hazelford/ports'

/** Most parts of one prompt that are considered, which bounds what one caller can make entries keep and send. */
const maxSharedParts = 16
const hexadecimalId = /^[0-9a-f]{1,64}$/

/**
 * Returns the ids of a prompt's parts, without the last one, which belongs to the request alone.
 *
 * @param parts - the parts from first to last, as the request names them
 * @returns each id once, in lower case, in order of its first position; ids that are not hexadecimal are left out
 */
export function sharedPartIds (parts: CallMetadata['promptParts']): readonly string[] {
  const ids = parts.slice(0, -1).map(({ id }) => id.trim().toLowerCase()).filter(id => hexadecimalId.test(id))
  return [...new Set(ids)].slice(0, maxSharedParts)
}
