/**
 * Random names.
 */
import { randomBytes } from 'node:crypto'

const idBytes = 12

/**
 * Makes a name that no other process makes.
 *
 * @param prefix - what the name is for, such as `req`
 * @returns the prefix, a hyphen and 96 random bits in hex
 */
export function newId (prefix: string): string {
  return `${prefix}-${randomBytes(idBytes).toString('hex')}`
}
