/**
 * Assigns the batch slots of one engine.
 */
import type { Ms } from '@hazelford/core'

/**
 * Age at which an entry's report expires. The entry has stopped by then, and the engine has terminated its requests. A
 * running entry reports each end of a request within some 20 ms, and few streams run for longer than 5 s without
 * another request of the same entry ending.
 */
const reportTtl: Ms = 5_000

interface EntryReport { readonly requests: number, readonly at: Ms }

/**
 * Requests at one engine as its holder counts them: those that the entries report, and those admitted since.
 *
 * With many entries and many engines of few batch slots each, an entry sends a request to a given engine only once in
 * many seconds and does not know how full its batch is. Entries that guess leave requests waiting inside full engines
 * while other engines have free batch slots. An entry asks the engine's holder about each request in any case, so the
 * holder assigns the batch slots.
 */
export class BatchSlots {
  private readonly _reports = new Map<string, EntryReport>()

  /** @param _slots - requests that the engine runs at once */
  constructor (private readonly _slots: number) {}

  /** Records an entry's number of open requests, which replaces its previous report. */
  recordReport (entry: string, requests: number, now: Ms): void { this._reports.set(entry, { requests, at: now }) }

  /** Counts an admitted request, until its entry's next report. */
  admit (entry: string, now: Ms): void {
    const report = this._reports.get(entry)
    const before = report === undefined || now - report.at >= reportTtl ? 0 : report.requests
    this._reports.set(entry, { requests: before + 1, at: now })
  }

  /** Number of open requests of all entries. */
  running (now: Ms): number {
    let sum = 0
    for (const { requests, at } of this._reports.values()) if (now - at < reportTtl) sum += requests
    return sum
  }

  /** Free batch slots, 0 or more. */
  free (now: Ms): number { return Math.max(0, this._slots - this.running(now)) }

  /**
   * Expected wait of one more request for a batch slot.
   *
   * @param waiting - requests ahead of it
   * @param serviceTime - ms that a request occupies its batch slot
   */
  expectedWait (waiting: number, serviceTime: Ms, now: Ms): Ms {
    const behind = waiting + 1 - this.free(now)
    return behind <= 0 ? 0 : behind * serviceTime / this._slots
  }
}
