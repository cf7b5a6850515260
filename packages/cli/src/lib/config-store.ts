/**
 * Reads and changes the configuration in the key-value service.
 */
import type { ConfigDocument, Ms } from '@hazelford/core'
import { configKey, historyPrefix, nextDocument, readDocument } from '@hazelford/config'
import { type KvClient, casWithReadBack } from '@hazelford/consul'
import { err, ok, type Result } from 'neverthrow'

/** The stored configuration; `index` is what a change must name. */
export interface StoredConfig {
  readonly doc: ConfigDocument | undefined
  readonly index: number
}

/** What became of a change. */
export type ChangeOutcome =
  | { readonly kind: 'accepted', readonly doc: ConfigDocument }
  /** Accepted, and already replaced by the document that stands now. */
  | { readonly kind: 'replaced', readonly doc: ConfigDocument, readonly current: ConfigDocument }
  | { readonly kind: 'conflict', readonly current: ConfigDocument | undefined }
  | { readonly kind: 'not-applied', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string, readonly writeId: string }

/** Stored beside the document, so that a writer whose reply was lost finds its write again. */
interface StoredJson extends ConfigDocument { readonly previousWriteId: string }

/** The configuration as operators keep it. */
export class ConfigStore {
  constructor (private readonly _kv: KvClient) {}

  async read (): Promise<Result<StoredConfig, string>> {
    const read = await this._kv.read(configKey)
    if (read.isErr()) return err(read.error.message)
    const { entry } = read.value
    return ok({ doc: entry === undefined ? undefined : readDocument(entry.value), index: entry?.modifyIndex ?? 0 })
  }

  /** An earlier revision. */
  async revision (number: number): Promise<Result<ConfigDocument | undefined, string>> {
    const current = await this.read()
    if (current.isErr()) return err(current.error)
    if (current.value.doc?.revision === number) return ok(current.value.doc)
    const read = await this._kv.read(`${historyPrefix}${number}`)
    if (read.isErr()) return err(read.error.message)
    const { entry } = read.value
    return ok(entry === undefined ? undefined : readDocument(entry.value))
  }

  /** All revisions kept, newest first. */
  async history (): Promise<Result<readonly ConfigDocument[], string>> {
    const current = await this.read()
    if (current.isErr()) return err(current.error)
    const listed = await this._kv.list(historyPrefix)
    if (listed.isErr()) return err(listed.error.message)
    const byRevision = new Map<number, ConfigDocument>()
    for (const doc of [...listed.value.map(entry => readDocument(entry.value)), current.value.doc]) {
      if (doc !== undefined) byRevision.set(doc.revision, doc)
    }
    return ok([...byRevision.values()].sort((a, b) => b.revision - a.revision))
  }

  /**
   * Changes the configuration.
   *
   * @param base - what the change was made from
   * @param text - checked text
   * @param author - who
   * @param at - wall time
   */
  async change (base: StoredConfig, text: string, author: string, at: Ms): Promise<ChangeOutcome> {
    // The replaced revision is kept first: once the change stands, nobody else has it.
    if (base.doc !== undefined) await this._keep(base.doc)
    const doc = nextDocument(base.doc?.revision ?? 0, text, author, at)
    const stored: StoredJson = { ...doc, previousWriteId: base.doc?.writeId ?? '' }
    const outcome = await casWithReadBack(this._kv, configKey, base.index, JSON.stringify(stored), value => readDocument(value)?.writeId === doc.writeId)
    switch (outcome.kind) {
      case 'stored':
        return { kind: 'accepted', doc }
      case 'not-applied':
        return { kind: 'not-applied', message: outcome.message }
      case 'unknown':
        return { kind: 'unknown', message: outcome.message, writeId: doc.writeId }
      case 'conflict': {
        const json = outcome.current.entry?.value
        const current = json === undefined ? undefined : readDocument(json)
        if (outcome.certain || current === undefined) return { kind: 'conflict', current }
        return this._settleConflict(doc, json!, current)
      }
    }
  }

  /** Our reply was lost and another document stands: was it built on ours? */
  private _settleConflict (doc: ConfigDocument, json: string, current: ConfigDocument): ChangeOutcome {
    if ((JSON.parse(json) as StoredJson).previousWriteId === doc.writeId) return { kind: 'replaced', doc, current }
    if (current.revision <= doc.revision) return { kind: 'conflict', current }
    // More than one change was made since; ours may be among those replaced.
    return { kind: 'unknown', message: `revision ${current.revision} stands now`, writeId: doc.writeId }
  }

  private async _keep (doc: ConfigDocument): Promise<void> {
    await this._kv.cas(`${historyPrefix}${doc.revision}`, 0, JSON.stringify(doc))
  }
}
