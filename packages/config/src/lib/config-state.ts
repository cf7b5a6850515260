/**
 * The configuration in force at a process.
 */
import type { ConfigDocument, EventRing, Log } from '@hazelford/core'
import { RevisionHolder } from '@hazelford/decisions'
import { type Config, parseConfig } from './config.js'
import { textDigest } from './document.js'

/** Hears of each new revision. */
export type ConfigListener = (config: Config, doc: ConfigDocument) => void

/** Takes documents from any source and puts the newest in force. */
export class ConfigState {
  private readonly _holder = new RevisionHolder()
  private readonly _listeners: ConfigListener[] = []
  private _config: Config | undefined

  constructor (private readonly _log: Log, private readonly _events: EventRing) {}

  get config (): Config | undefined { return this._config }
  get revision (): number { return this._holder.revision }
  get document (): ConfigDocument | undefined { return this._holder.current }

  /** Calls back on each later change. */
  onChange (listener: ConfigListener): void { this._listeners.push(listener) }

  /**
   * Offers a document.
   *
   * @param doc - from the key-value service or from a peer
   * @param source - for the log
   * @returns whether it is now in force
   */
  offer (doc: ConfigDocument, source: string): boolean {
    if (doc.revision <= this.revision || doc.sha256 !== textDigest(doc.text)) return false
    const parsed = parseConfig(doc.text)
    if (parsed.isErr()) {
      // A newer program may have accepted what this one can't read. Going on with the
      // old decision is safe; the status page shows the revision that lags.
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
