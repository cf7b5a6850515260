/**
 * Watches the configuration in the key-value service.
 */
import { type Clock, type ConfigDocument, type Log, type Ms, sleep } from '@hazelford/core'
import { configKey, type ConfigState, readDocument } from '@hazelford/config'
import { fullJitter } from '@hazelford/decisions'
import type { KvClient, KvRead } from '@hazelford/consul'

/**
 * Longest wait of one watch. A watch that the service received but never answers is detected only by its time-out, one second
 * after this wait, and a change must be in force within 9 s. With 30 s, a service that dropped the watches of all entries in a
 * fault of 0.4 s delayed the next change by 31 s. The wait costs each entry one read in 7 s.
 */
const watchTimeout: Ms = 7_000
const backoff = { base: 100, cap: 3_000 }

/** Dependencies of {@link ConfigWatch}. */
export interface ConfigWatchOptions {
  readonly kv: KvClient
  readonly clock: Clock
  readonly log: Log
  readonly state: ConfigState
}

/** Puts new revisions from the key-value service in force in this process. */
export class ConfigWatch {
  private readonly _abort = new AbortController()
  private _failures = 0

  constructor (private readonly _options: ConfigWatchOptions) {}

  /** Watches until {@link ConfigWatch.stop} is called. */
  async run (): Promise<void> {
    const { kv, clock } = this._options
    let index = 0
    while (!this._abort.signal.aborted) {
      const read = index === 0 ? await kv.read(configKey) : await kv.watch(configKey, index, watchTimeout, this._abort.signal)
      if (read.isErr()) {
        index = 0
        await sleep(clock, fullJitter(++this._failures, backoff, Math.random))
        continue
      }
      this._failures = 0
      // An index that decreases means that the store was replaced; a watch from the old index might never return.
      index = read.value.index < index ? 0 : read.value.index
      await this._applyRead(read.value)
    }
  }

  stop (): void { this._abort.abort() }

  private async _applyRead (read: KvRead): Promise<void> {
    const { state, log } = this._options
    const doc = read.entry === undefined ? undefined : readDocument(read.entry.value)
    if (doc !== undefined && state.offer(doc, 'key-value service')) return
    const held = state.document
    if (held === undefined || (doc !== undefined && doc.revision >= held.revision)) return
    log.warn('config', 'store is behind.', { stored: doc?.revision ?? 0, held: held.revision })
    await this._putBack(held, read.entry?.modifyIndex ?? 0)
  }

  /**
   * Writes the newest accepted document back to the store.
   *
   * A store restored from an old backup would give every process that starts from now on an
   * outdated configuration. If only the read was stale, its index is old too and the
   * compare-and-swap changes nothing.
   */
  private async _putBack (held: ConfigDocument, index: number): Promise<void> {
    const written = await this._options.kv.cas(configKey, index, JSON.stringify(held))
    if (written.isOk()) this._options.log.info('config', 'newest revision written back to the store.', { revision: held.revision, outcome: written.value })
  }
}
