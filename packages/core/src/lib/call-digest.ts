/**
 * Identifies a call by its content.
 */
import { createHash } from 'node:crypto'

/**
 * Digest of a call, the same for each of its attempts.
 *
 * @param method - HTTP method
 * @param path - path and query
 * @param body - body as sent
 * @returns 64 hexadecimal digits
 */
export function callDigest (method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('hex')
}
