/**
 * Random unique ids.
 */
import { randomBytes } from 'node:crypto'

const idBytes = 12

/**
 * Generates a unique id.
 *
 * @param prefix - kind of the thing identified, such as `req`
 * @returns the prefix, a hyphen and 96 random bits in hex
 */
export function newId (prefix: string): string {
  return `${prefix}-${randomBytes(idBytes).toString('hex')}`
}
