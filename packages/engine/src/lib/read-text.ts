/**
 * Reads a body as text.
 */
import type { Readable } from 'node:stream'

/**
 * Reads a body.
 *
 * @param body - is destroyed when it is too large
 * @param limit - bytes
 * @returns rejects when the body is larger than that
 */
export async function readText (body: Readable, limit: number): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > limit) throw new Error(`The answer has more than ${limit} bytes.`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}
