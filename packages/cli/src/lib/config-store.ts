/**
 * Reads and changes the configuration in the key-value service.
 */
import type { ConfigDocument, Ms } from '@hazelford/core'
import { configKey, historyPrefix, nextDocument, readDocument } from '@hazelford/config'
import { type KvClient, casWithReadBack } from '@hazelford/consul'
import { err, ok, type Result } from 'neverthrow'

/** The stored configuration; `index` is the modify index that a compare-and-set must name. */
export interface StoredConfig {
  readonly doc: ConfigDocument | undefined
  readonly index: number
}

/** The outcome of a change. */
export type ChangeOutcome =
  | { readonly kind: 'accepted', readonly doc: ConfigDocument }
  /** Accepted, and already replaced by the document that is stored now. */
  | { readonly kind: 'replaced', readonly doc: ConfigDocument, readonly current: ConfigDocument }
  | { readonly kind: 'conflict', readonly current: ConfigDocument | undefined }
  | { readonly kind: 'not-applied', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string, readonly writeId: string }

/** The document as stored, with the id of the write it replaced, so that a writer whose reply was lost can find its write again. */
interface StoredDocument extends ConfigDocument { readonly previousWriteId: string }

/** The operators' configuration in the key-value service. */
export class ConfigStore {
  constructor (private readonly _kv: KvClient) {}

  async read (): Promise<Result<StoredConfig, string>> {
    const read = await this._kv.read(configKey)
    if (read.isErr()) return err(read.error.message)
    const { entry } = read.value
    return ok({ doc: entry === undefined ? undefined : readDocument(entry.value), index: entry?.modifyIndex ?? 0 })
  }

  /** Reads the current or an earlier revision; undefined if it is not kept. */
  async revision (number: number): Promise<Result<ConfigDocument | undefined, string>> {
    const current = await this.read()
    if (current.isErr()) return err(current.error)
    if (current.value.doc?.revision === number) return ok(current.value.doc)
    const read = await this._kv.read(`${historyPrefix}${number}`)
    if (read.isErr()) return err(read.error.message)
    const { entry } = read.value
    return ok(entry === undefined ? undefined : readDocument(entry.value))
  }

  /** Lists all kept revisions, newest first. */
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
   * @param base - the stored configuration that the change is based on
   * @param text - validated configuration text
   * @param author - the operator
   * @param at - wall-clock time in ms
   */
  async change (base: StoredConfig, text: string, author: string, at: Ms): Promise<ChangeOutcome> {
    // The replaced revision is copied to the history first: once the change is stored, there is no other copy of it.
    if (base.doc !== undefined) await this._keepInHistory(base.doc)
    const doc = nextDocument(base.doc?.revision ?? 0, text, author, at)
    const stored: StoredDocument = { ...doc, previousWriteId: base.doc?.writeId ?? '' }
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
        return this._resolveConflict(doc, json!, current)
      }
    }
  }

  /** Decides whether a write whose reply was lost took effect before the document that is stored now. */
  private _resolveConflict (doc: ConfigDocument, json: string, current: ConfigDocument): ChangeOutcome {
    if ((JSON.parse(json) as StoredDocument).previousWriteId === doc.writeId) return { kind: 'replaced', doc, current }
    if (current.revision <= doc.revision) return { kind: 'conflict', current }
    // More than one change followed, and this write may be among those that were replaced.
    return { kind: 'unknown', message: `revision ${current.revision} is stored now`, writeId: doc.writeId }
  }

  private async _keepInHistory (doc: ConfigDocument): Promise<void> {
    await this._kv.cas(`${historyPrefix}${doc.revision}`, 0, JSON.stringify(doc))
  }
}
