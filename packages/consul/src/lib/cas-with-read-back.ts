/**
 * A compare-and-swap that reads the value back to determine its outcome when the reply is lost.
 */
import { type KvClient, type KvRead } from './kv-client.js'

/**
 * Outcome of a write.
 *
 * - `stored`: the value took effect.
 * - `conflict`: the key holds another value, which is returned.
 * - `not-applied`: the value did not and will not take effect.
 * - `unknown`: the reply was lost, and the read-back failed or could not rule out that the write takes effect later.
 */
export type CasWriteOutcome =
  | { readonly kind: 'stored' }
  /** `certain` is false when the reply was lost: the value may have been stored and then replaced by the current one. */
  | { readonly kind: 'conflict', readonly current: KvRead, readonly certain: boolean }
  | { readonly kind: 'not-applied', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

/**
 * Writes a value that contains a unique token.
 *
 * @param kv - client of the key-value service
 * @param key - key to write
 * @param index - index that the write replaces; 0 creates the key
 * @param value - new value; it must differ from the values of all other writes
 * @param isOwn - whether a value that was read back is this one
 */
export async function casWithReadBack (kv: KvClient, key: string, index: number, value: string, isOwn: (value: string) => boolean): Promise<CasWriteOutcome> {
  const written = await kv.cas(key, index, value)
  if (written.isOk() && written.value === 'stored') return { kind: 'stored' }
  if (written.isErr() && written.error.kind === 'not-applied') return { kind: 'not-applied', message: written.error.message }

  // The reply to the compare-and-swap can be lost after the write took effect. A writer that
  // retried would see its own value as a conflict and report a race that never happened. The
  // token in the value distinguishes its own write from those of others.
  const read = await kv.read(key)
  if (read.isErr()) {
    const message = written.isErr() ? written.error.message : read.error.message
    return written.isErr() ? { kind: 'unknown', message } : { kind: 'conflict', current: { entry: undefined, index: 0 }, certain: true }
  }
  const { entry } = read.value
  if (entry !== undefined && isOwn(entry.value)) return { kind: 'stored' }
  // A write whose reply was lost may not have reached the service yet. As long as the key
  // has the index that the write expects, it can still take effect after this read.
  if (written.isErr() && (entry?.modifyIndex ?? 0) === index) return { kind: 'unknown', message: written.error.message }
  return { kind: 'conflict', current: read.value, certain: written.isOk() }
}
