/**
 * An in-memory key-value service whose calls a test can delay, lose or refuse.
 */
import { errAsync, ResultAsync } from 'neverthrow'
import type { CasOutcome, KvClient, KvEntry, KvFailure, KvRead } from '@hazelford/consul'

/** Fault injected into one call. */
export type KvFault =
  | 'none'
  /** Refused before it is sent. */
  | 'refused'
  /** Takes effect; the reply is lost. */
  | 'lost-reply'
  /** No reply, and no effect yet; a write takes effect when {@link FakeKv.applyLate} is called. */
  | 'late'

interface Stored { readonly value: string, readonly modifyIndex: number }

const lost: KvFailure = { kind: 'unknown', message: 'no reply' }
const refused: KvFailure = { kind: 'not-applied', message: 'refused' }

/** The fake service. {@link FakeKv.client} creates a client for each sidecar of a test. */
export class FakeKv {
  readonly data = new Map<string, Stored>()
  /** Writes that will take effect when {@link FakeKv.applyLate} is called. */
  private _late: (() => void)[] = []
  private _index = 1
  writes = 0

  /** Applies the delayed writes. */
  applyLate (): void {
    const late = this._late
    this._late = []
    for (const apply of late) apply()
  }

  /**
   * Creates a client.
   *
   * @param fault - returns the fault of each call
   * @param turn - awaited before a call takes effect and before its reply, to interleave calls
   */
  client (fault: (call: 'read' | 'cas' | 'remove') => KvFault, turn: () => Promise<void> = () => Promise.resolve()): KvClient {
    const run = <T>(call: 'read' | 'cas' | 'remove', apply: () => T): ResultAsync<T, KvFailure> => {
      const kind = fault(call)
      if (kind === 'refused') return errAsync(refused)
      if (kind === 'late') {
        if (call !== 'read') this._late.push(apply)
        return errAsync(lost)
      }
      const step = async (): Promise<T> => {
        await turn()
        const value = apply()
        await turn()
        if (kind === 'lost-reply') throw new Error('no reply')
        return value
      }
      return ResultAsync.fromPromise(step(), () => lost)
    }
    return {
      read: key => run('read', () => this._read(key)),
      watch: key => run('read', () => this._read(key)),
      list: () => ResultAsync.fromSafePromise(Promise.resolve([] as readonly KvEntry[])),
      cas: (key, index, value) => run('cas', () => this._cas(key, index, value)),
      remove: (key, index) => run('remove', () => this._remove(key, index))
    }
  }

  private _read (key: string): KvRead {
    const stored = this.data.get(key)
    return { entry: stored === undefined ? undefined : { key, ...stored }, index: this._index }
  }

  private _cas (key: string, index: number, value: string): CasOutcome {
    this.writes++
    if ((this.data.get(key)?.modifyIndex ?? 0) !== index) return 'conflict'
    this.data.set(key, { value, modifyIndex: ++this._index })
    return 'stored'
  }

  private _remove (key: string, index: number): CasOutcome {
    this.writes++
    if ((this.data.get(key)?.modifyIndex ?? 0) !== index) return 'conflict'
    this.data.delete(key)
    this._index++
    return 'stored'
  }
}

/** Runs pending microtasks, so that resolved promises continue. */
export async function flushMicrotasks (rounds = 50): Promise<void> {
  for (let i = 0; i < rounds; i++) await Promise.resolve()
}
