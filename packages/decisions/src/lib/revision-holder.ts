/**
 * Holds the newest configuration that a process has seen.
 */
import type { ConfigDocument } from '@hazelford/core'

/**
 * Never goes to a lower revision.
 *
 * A read can be stale, a store can be restored from an old copy, and a process that
 * was paused can offer what it had. Following any of these would put an operator's
 * earlier decision back in force, and a status page would show a revision that falls.
 */
export class RevisionHolder {
  private _current: ConfigDocument | undefined

  /** The document in force here. */
  get current (): ConfigDocument | undefined { return this._current }

  /** Its revision, or 0 before the first. */
  get revision (): number { return this._current?.revision ?? 0 }

  /**
   * Offers a document from any source.
   *
   * @param doc - checked document
   * @returns whether it is newer and is now held
   */
  offer (doc: ConfigDocument): boolean {
    if (doc.revision <= this.revision) return false
    this._current = doc
    return true
  }
}
