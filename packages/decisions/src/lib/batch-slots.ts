/**
 * Gives out the places in one engine's batch.
 */
import type { Ms } from '@hazelford/core'

/**
 * Age at which an entry's word counts no more: it is gone, and the engine has ended its requests. An entry that lives tells
 * each end within some 20 ms, and few streams run for longer than this without another one's end.
 */
const reportTtl: Ms = 5_000

interface EntryReport { readonly requests: number, readonly at: Ms }

/**
 * Requests at one engine, as its holder counts them: by the entries' words, and those let in since.
 *
 * Answers the load of many entries before many engines with few places each: an entry sends to an engine once in
 * many seconds and knows nothing of its batch. Sent by guess, requests stood inside full engines while places were
 * free on others. The holder is asked for each request anyhow.
 */
export class BatchSlots {
  private readonly _reports = new Map<string, EntryReport>()

  /** @param _slots - requests that the engine runs at once */
  constructor (private readonly _slots: number) {}

  /** Takes an entry's word on its open requests; it replaces the one before. */
  note (entry: string, requests: number, now: Ms): void { this._reports.set(entry, { requests, at: now }) }

  /** Counts a request that was let in, until its entry's next word. */
  admit (entry: string, now: Ms): void {
    const report = this._reports.get(entry)
    const before = report === undefined || now - report.at >= reportTtl ? 0 : report.requests
    this._reports.set(entry, { requests: before + 1, at: now })
  }

  /** Requests of all entries. */
  running (now: Ms): number {
    let sum = 0
    for (const { requests, at } of this._reports.values()) if (now - at < reportTtl) sum += requests
    return sum
  }

  /** Places that nobody has; 0 or more. */
  free (now: Ms): number { return Math.max(0, this._slots - this.running(now)) }

  /**
   * Expected wait of one more request for a place.
   *
   * @param waiting - requests before it
   * @param serviceTime - ms that a request stays in its place
   */
  expectedWait (waiting: number, serviceTime: Ms, now: Ms): Ms {
    const behind = waiting + 1 - this.free(now)
    return behind <= 0 ? 0 : behind * serviceTime / this._slots
  }
}
