/**
 * Waits until the former holders of an engine send no more orders, so that its new holder may send the first one.
 */
import { type Clock, type Log, type Ms, sleep } from '@hazelford/core'
import type { FormerHolder } from './claim-history.js'
import { orderTransit } from './engine-holder.js'
import type { TakeoverMessage } from '../peers/peer-messages.js'
import type { PeerAddress } from '../peers/peer-table.js'

/** What a notice shows of a former holder: it sends no more orders, or its process has terminated. */
export type TakeoverAnswer = 'stopped' | 'terminated'

/** Notifies a former holder; rejects when neither it nor its host answers. */
export type NotifyTakeover = (former: PeerAddress, msg: TakeoverMessage) => Promise<TakeoverAnswer>

/** What a takeover needs. */
export interface TakeoverOptions {
  readonly clock: Clock
  readonly log: Log
  readonly upstream: string
  /** Fencing number of the new holder. */
  readonly fence: number
  readonly formers: readonly FormerHolder[]
  /** Ms after the end of a lease at the store from which its former owner sends no orders. */
  readonly ordersAfterLeaseEnd: Ms
  readonly notify: NotifyTakeover
}

/**
 * Time after which a former holder that has not answered is notified again, beside the notices that are under way: after
 * a partition each of the connections that were open before may take its whole timeout to fail.
 */
const noticeInterval: Ms = 300

/**
 * Takes one engine over from its former holders.
 *
 * The store may end a lease before its time, for instance in an outage or while it rejects the calls of its owner. The
 * owner cannot know that. It sends orders until it is notified, or until its lease would have expired by its own count.
 */
export class Takeover {
  private _cancelled = false
  private readonly _startedAt: Ms

  constructor (private readonly _options: TakeoverOptions) { this._startedAt = _options.clock.now() }

  get fence (): number { return this._options.fence }

  /** Gives the engine up; {@link settled} resolves to false. */
  cancel (): void { this._cancelled = true }

  /** Resolves once no former holder sends orders any more, to whether the engine may be given orders now. */
  async settled (): Promise<boolean> {
    await Promise.all(this._options.formers.map(former => this._awaitEnd(former)))
    return !this._cancelled
  }

  private async _awaitEnd (former: FormerHolder): Promise<void> {
    const { clock, log, upstream, fence, ordersAfterLeaseEnd } = this._options
    const until = (former.goneAt ?? this._startedAt) + ordersAfterLeaseEnd
    const about = { upstream, fence, former: former.node, formerFence: former.fence }
    const notices = new TakeoverNotices(() => this._options.notify(former, { upstream, fence }), cause => {
      if (!this._cancelled) log.info('loads', 'former holder does not answer.', { ...about, waitsFor: Math.round(until - clock.now()), cause: cause.message })
    })
    while (!this._cancelled && notices.answer === undefined && clock.now() < until) {
      notices.send()
      await Promise.race([notices.answered, sleep(clock, Math.min(noticeInterval, until - clock.now()))])
    }
    const { answer, sent } = notices
    if (answer !== undefined) log.info('loads', answer === 'stopped' ? 'former holder notified.' : 'former holder has terminated.', { ...about, notices: sent })
    else if (!this._cancelled) log.info('loads', 'lease of the former holder has ended.', { ...about, notices: sent })
    if (answer === 'terminated') await sleep(clock, orderTransit)
  }
}

/** Notices to one former holder, which may be under way at the same time. */
class TakeoverNotices {
  /** Resolves with the first answer. */
  readonly answered: Promise<void>
  answer: TakeoverAnswer | undefined
  sent = 0
  private _failed = false
  private _resolve: () => void = () => {}

  /**
   * @param _notify - sends a notice
   * @param _firstFailed - is called when a notice was not answered, once
   */
  constructor (private readonly _notify: () => Promise<TakeoverAnswer>, private readonly _firstFailed: (cause: Error) => void) {
    this.answered = new Promise(resolve => { this._resolve = resolve })
  }

  send (): void {
    this.sent++
    this._notify().then(answer => {
      this.answer ??= answer
      this._resolve()
    }, (cause: Error) => {
      if (!this._failed && this.answer === undefined) this._firstFailed(cause)
      this._failed = true
    })
  }
}
