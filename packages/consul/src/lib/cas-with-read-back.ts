/**
 * A compare-and-swap whose lost reply is settled by reading back.
 */
import { type KvClient, type KvRead } from './kv-client.js'

/**
 * What became of a write.
 *
 * - `stored`: our value took effect.
 * - `conflict`: another value stands; it is given.
 * - `not-applied`: our value did not and will not take effect.
 * - `unknown`: neither the reply nor a read back came.
 */
export type CasWriteOutcome =
  | { readonly kind: 'stored' }
  /** `certain` is false when our reply was lost: our value may have stood before the one seen now. */
  | { readonly kind: 'conflict', readonly current: KvRead, readonly certain: boolean }
  | { readonly kind: 'not-applied', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

/**
 * Writes a value that carries a unique token.
 *
 * @param kv - the service
 * @param key - where
 * @param index - index the write replaces; 0 creates
 * @param value - new value; it must differ from every value anybody else writes
 * @param isOwn - recognises our value in a read
 */
export async function casWithReadBack (kv: KvClient, key: string, index: number, value: string, isOwn: (value: string) => boolean): Promise<CasWriteOutcome> {
  const written = await kv.cas(key, index, value)
  if (written.isOk() && written.value === 'stored') return { kind: 'stored' }
  if (written.isErr() && written.error.kind === 'not-applied') return { kind: 'not-applied', message: written.error.message }

  // The reply to the CAS can be lost after the write took effect. The writer would
  // then retry, see its own value as a conflict, and report a race that never
  // happened. The token in the value tells our own write from another's.
  const read = await kv.read(key)
  if (read.isErr()) {
    const message = written.isErr() ? written.error.message : read.error.message
    return written.isErr() ? { kind: 'unknown', message } : { kind: 'conflict', current: { entry: undefined, index: 0 }, certain: true }
  }
  const { entry } = read.value
  if (entry !== undefined && isOwn(entry.value)) return { kind: 'stored' }
  // A write whose reply was lost may still be on its way to the service. As long as
  // the key has the index it names, it could yet take effect after this read.
  if (written.isErr() && (entry?.modifyIndex ?? 0) === index) return { kind: 'unknown', message: written.error.message }
  return { kind: 'conflict', current: read.value, certain: written.isOk() }
}
