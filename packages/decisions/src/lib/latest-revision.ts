/**
 * Keeps the configuration of the highest revision that a process has received.
 */
import type { ConfigDocument } from '@hazelford/core'

/**
 * Keeps the configuration document of the highest revision; the revision never decreases.
 *
 * A read from the store can be stale, the store can be restored from an old backup, and a process that was suspended
 * can offer an outdated document. Applying any of these would reinstate a configuration that an operator has replaced,
 * and the status page would show a revision that decreases.
 */
export class LatestRevision {
  private _current: ConfigDocument | undefined

  /** The document in force in this process. */
  get current (): ConfigDocument | undefined { return this._current }

  /** Revision of the document in force; 0 before the first. */
  get revision (): number { return this._current?.revision ?? 0 }

  /**
   * Offers a document from any source.
   *
   * @param doc - validated document
   * @returns whether its revision is higher, so that it is now in force
   */
  offer (doc: ConfigDocument): boolean {
    if (doc.revision <= this.revision) return false
    this._current = doc
    return true
  }
}
