/**
 * Verifies that the process behind an upstream's address is the incarnation that its record describes.
 */
import type { Clock, Ms } from '@hazelford/core'
import { compareStartTimes } from '@hazelford/ports'

/** Reads the start that the process behind the address reports now; undefined when it does not answer. */
export type ReadStart = () => Promise<{ readonly startedAt?: number } | undefined>

/** Reports requested before a check counts as failed. */
const attempts = 2

/**
 * Verifies one incarnation of an upstream.
 *
 * An upstream may restart under its id and address with other software, and its new record may be late by seconds, or by
 * the length of an outage. Connections end with their process, and a later process never gives way to an earlier one: a
 * connection belongs to this incarnation if a report that was requested after it was opened still names the incarnation.
 */
export class IncarnationCheck {
  /** When the last report that named this incarnation was requested. */
  private _confirmedAt: Ms = -Infinity
  private _isReplaced = false
  private _query: { readonly requestedAt: Ms, readonly ended: Promise<void> } | undefined

  /**
   * @param _clock - to compare reports with connections
   * @param _startedAt - start of the incarnation; undefined for an upstream that gets a new id with each start
   */
  constructor (private readonly _clock: Clock, private readonly _startedAt: number | undefined) {}

  /** Applies a report of the process behind the address. */
  recordReport (startedAt: number | undefined, requestedAt: Ms): void {
    const order = compareStartTimes(startedAt, this._startedAt)
    if (order === 'same') this._confirmedAt = Math.max(this._confirmedAt, requestedAt)
    else if (order === 'later') this._isReplaced = true
  }

  /** Whether a connection that was opened at a time is known to belong to this incarnation. */
  isConfirmed (openedAt: Ms): boolean { return this._startedAt === undefined || this._confirmedAt >= openedAt }

  /**
   * Verifies that a connection belongs to this incarnation; reads a report only if none was read since it was opened.
   *
   * @param openedAt - when the connection was opened
   * @param readStart - reads a report
   */
  async confirm (openedAt: Ms, readStart: ReadStart): Promise<boolean> {
    for (let attempt = 0; attempt < attempts && !this.isConfirmed(openedAt) && !this._isReplaced; attempt++) {
      if (this._query === undefined || this._query.requestedAt < openedAt) this._query = this._startQuery(readStart)
      await this._query.ended
    }
    return this.isConfirmed(openedAt)
  }

  private _startQuery (readStart: ReadStart): { readonly requestedAt: Ms, readonly ended: Promise<void> } {
    const requestedAt = this._clock.now()
    const ended = readStart().then(report => {
      if (report !== undefined) this.recordReport(report.startedAt, requestedAt)
    }).finally(() => {
      if (this._query?.requestedAt === requestedAt) this._query = undefined
    })
    return { requestedAt, ended }
  }
}
