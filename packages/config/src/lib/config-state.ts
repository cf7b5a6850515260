/**
 * The configuration in force in a process.
 */
import type { ConfigDocument, EventRing, Log } from '@hazelford/core'
import { LatestRevision } from '@hazelford/decisions'
import { type Config, parseConfig } from './config.js'
import { textDigest } from './document.js'

/** Called with each new revision. */
export type ConfigListener = (config: Config, doc: ConfigDocument) => void

/** Receives configuration documents from any source and puts the newest in force. */
export class ConfigState {
  private readonly _holder = new LatestRevision()
  private readonly _listeners: ConfigListener[] = []
  private _config: Config | undefined

  constructor (private readonly _log: Log, private readonly _events: EventRing) {}

  get config (): Config | undefined { return this._config }
  get revision (): number { return this._holder.revision }
  get document (): ConfigDocument | undefined { return this._holder.current }

  /** Adds a listener for later changes. */
  onChange (listener: ConfigListener): void { this._listeners.push(listener) }

  /**
   * Puts a document in force if it is newer, undamaged and valid.
   *
   * @param doc - document from the key-value service or a peer
   * @param source - where the document came from, for the log
   * @returns whether the document is now in force
   */
  offer (doc: ConfigDocument, source: string): boolean {
    if (doc.revision <= this.revision || doc.sha256 !== textDigest(doc.text)) return false
    const parsed = parseConfig(doc.text)
    if (parsed.isErr()) {
      // A newer program version may have accepted a document that this version can't parse.
      // Keeping the old configuration is safe; the status page shows that the revision lags.
      this._log.warn('config', 'revision not understood.', { revision: doc.revision, source, problems: parsed.error })
      return false
    }
    this._holder.offer(doc)
    this._config = parsed.value
    this._log.info('config', 'revision in force.', { revision: doc.revision, source })
    this._events.add('config', { note: `revision ${doc.revision} from ${source}` })
    for (const listener of this._listeners) listener(parsed.value, doc)
    return true
  }
}
