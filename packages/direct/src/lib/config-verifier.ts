/**
 * Proves that the configuration at hand is young enough to let callers in by it.
 */
import type { Clock, Log, Ms } from '@hazelford/core'

/** What the prover needs of its entry. */
export interface ConfigVerifierOptions {
  readonly clock: Clock
  readonly log: Log
  /** Ms after its withdrawal within which a key must open nothing any more, at any entry; 0 lets an entry go on by what it knows. */
  readonly withdrawWithin: () => Ms
  /** Ms since which the configuration may have changed unheard. */
  readonly viewAge: () => Ms
  /** Asks the store and some peers at once; each promise ends when its answer, if one came, is in force. */
  readonly query: () => readonly Promise<void>[]
}

/** Clocks of hosts differ in pace, and timers are late. */
const safety: Ms = 200
/** Part of the bound from which it is asked ahead of need, so that no request waits for it. */
const aheadShare = 0.6
/** Requests wait this long for an answer of a store that does badly. */
const answerWithin: Ms = 400
/** Pause after a question that proved nothing. */
const againAfter: Ms = 250

/**
 * Holds this invariant: a request that was read at a time A is let in only if everything that was accepted before A less the
 * bound is known here.
 *
 * A key may have been withdrawn while this entry was frozen, cut off or turned away by the store. It can't notice, since
 * nothing tells it; only an answer to a question that it sent lately can tell that nothing was missed.
 */
export class ConfigVerifier {
  private _asking: Promise<boolean> | undefined
  private _askAt: Ms = -Infinity

  constructor (private readonly _options: ConfigVerifierOptions) {}

  /** Whether callers may be let in now. */
  get isFresh (): boolean {
    const { withdrawWithin, viewAge } = this._options
    const bound = withdrawWithin()
    return bound === 0 || viewAge() < bound - safety
  }

  /** Asks ahead of need. */
  refresh (): void {
    const { withdrawWithin, viewAge, log } = this._options
    const bound = withdrawWithin()
    if (bound === 0 || viewAge() < bound * aheadShare) return
    this.verify().catch((error: Error) => log.warn('config', 'not proved.', { error: error.message }))
  }

  /**
   * Asks, once for all who wait.
   *
   * @returns whether the configuration is proven now
   */
  verify (): Promise<boolean> {
    if (this._asking !== undefined) return this._asking
    if (this._options.clock.now() < this._askAt) return Promise.resolve(this.isFresh)
    this._asking = this._ask().finally(() => { this._asking = undefined })
    return this._asking
  }

  private async _ask (): Promise<boolean> {
    const { clock, log, viewAge } = this._options
    const before = viewAge()
    const isYounger = await this._firstAnswer(() => viewAge() < before)
    if (!isYounger) {
      this._askAt = clock.now() + againAfter
      log.info('config', 'neither store nor peers prove it.', { age: Math.round(viewAge()) })
    }
    return this.isFresh
  }

  /** Waits until an answer has proved something, or all have come, or the time is over. */
  private _firstAnswer (isYounger: () => boolean): Promise<boolean> {
    return new Promise(resolve => {
      const cancel = this._options.clock.after(answerWithin, () => resolve(isYounger()))
      const questions = this._options.query()
      let open = questions.length
      const answered = (): void => {
        open--
        if (open > 0 && !(isYounger() && this.isFresh)) return
        cancel()
        resolve(isYounger())
      }
      for (const question of questions) question.then(answered, answered)
    })
  }
}
