/**
 * Takes what upstreams say of themselves in their answers.
 */
import { assertNever, type Clock, type Log, type Ms } from '@hazelford/core'
import type { NoticeChange } from '@hazelford/decisions'
import type { UpstreamNotice } from '@hazelford/ports'
import type { EntryMetrics } from './metrics.js'
import type { Upstream } from './upstream.js'

/** What the desk needs of its entry. */
export interface NoticeDeskOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: Pick<EntryMetrics, 'notices'>
}

/** Notices of all upstreams at one entry. */
export class NoticeDesk {
  constructor (private readonly _options: NoticeDeskOptions) {}

  /**
   * Takes the notice of an answer.
   *
   * @param upstream - that gave it
   * @param notice - as the answer says
   * @param took - ms since the answer was asked for
   */
  take (upstream: Upstream, notice: UpstreamNotice, took: Ms): void {
    const now = this._options.clock.now()
    for (const change of upstream.notices.note(notice, now - took, now)) this._noteChange(upstream, change)
  }

  private _noteChange ({ id, record }: Upstream, change: NoticeChange): void {
    const { log, metrics } = this._options
    metrics.notices.inc({ notice: change.kind })
    const about = { upstream: id, service: record.service }
    switch (change.kind) {
      case 'limit':
        return change.rate === undefined
          ? log.info('membership', 'upstream names no limit any more.', { ...about, before: change.before })
          : log.info('membership', 'upstream names a limit.', { ...about, rate: change.rate, before: change.before })
      case 'leaving': return log.info('membership', 'upstream says that it leaves.', { ...about, listedAs: record.state })
      case 'rest': return log.info('membership', 'upstream asks for rest.', { ...about, lasts: Math.round(change.lasts) })
      default: return assertNever(change)
    }
  }
}
