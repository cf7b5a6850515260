/**
 * Verifies that the configuration at hand is fresh enough to admit callers by it.
 */
import type { Clock, Log, Ms } from '@hazelford/core'

/** What the verifier needs of its entry. */
export interface ConfigVerifierOptions {
  readonly clock: Clock
  readonly log: Log
  /**
   * Ms after the withdrawal of a key within which every entry must refuse it; 0 lets an entry go on with the
   * configuration that it has.
   */
  readonly withdrawWithin: () => Ms
  /** Ms for which the configuration may have changed without this entry knowing. */
  readonly viewAge: () => Ms
  /**
   * Queries the store and some peers at once; each promise resolves when the answer has been applied or none has come.
   */
  readonly query: () => readonly Promise<void>[]
}

/** Margin for clocks of hosts that run at different speeds, and for late timers. */
const clockMargin: Ms = 200
/** Share of the bound after which the configuration is verified ahead of need, so that no request waits for it. */
const aheadShare = 0.6
/** How long requests wait for the answer of a store that responds slowly. */
const answerWithin: Ms = 400
/** Pause after a query that verified nothing. */
const retryPause: Ms = 250

/**
 * Maintains this invariant: a request that was read at a time A is admitted only if this entry knows every change of
 * the configuration that was accepted before A minus the bound.
 *
 * A key may have been withdrawn while this entry was frozen, cut off or rejected by the store. The entry receives no
 * message about that; only an answer to a query that it sent lately shows that it missed nothing.
 */
export class ConfigVerifier {
  private _verifying: Promise<boolean> | undefined
  private _nextQueryAt: Ms = -Infinity

  constructor (private readonly _options: ConfigVerifierOptions) {}

  /** Whether callers may be admitted now. */
  get isFresh (): boolean {
    const { withdrawWithin, viewAge } = this._options
    const bound = withdrawWithin()
    return bound === 0 || viewAge() < bound - clockMargin
  }

  /** Verifies the configuration ahead of need. */
  refresh (): void {
    const { withdrawWithin, viewAge, log } = this._options
    const bound = withdrawWithin()
    if (bound === 0 || viewAge() < bound * aheadShare) return
    this.verify().catch((error: Error) => log.warn('config', 'not verified.', { error: error.message }))
  }

  /**
   * Verifies the configuration, with one query for all requests that wait.
   *
   * @returns whether the configuration is fresh now
   */
  verify (): Promise<boolean> {
    if (this._verifying !== undefined) return this._verifying
    if (this._options.clock.now() < this._nextQueryAt) return Promise.resolve(this.isFresh)
    this._verifying = this._query().finally(() => { this._verifying = undefined })
    return this._verifying
  }

  private async _query (): Promise<boolean> {
    const { clock, log, viewAge } = this._options
    const before = viewAge()
    const isFresher = await this._firstAnswer(() => viewAge() < before)
    if (!isFresher) {
      this._nextQueryAt = clock.now() + retryPause
      log.info('config', 'neither store nor peers verified the configuration.', { age: Math.round(viewAge()) })
    }
    return this.isFresh
  }

  /** Waits until an answer shows a fresher view that is fresh enough, or all answers have arrived, or the time is over. */
  private _firstAnswer (isFresher: () => boolean): Promise<boolean> {
    return new Promise(resolve => {
      const cancel = this._options.clock.after(answerWithin, () => resolve(isFresher()))
      const queries = this._options.query()
      let open = queries.length
      const answered = (): void => {
        open--
        if (open > 0 && !(isFresher() && this.isFresh)) return
        cancel()
        resolve(isFresher())
      }
      for (const query of queries) query.then(answered, answered)
    })
  }
}
