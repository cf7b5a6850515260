/**
 * A task owns its state and its sockets; other code only posts messages to it.
 */

/**
 * Runs a decision generator, which receives one message at a time and yields a list of effects.
 *
 * Messages posted while an effect is being performed are queued, so that the generator never
 * sees a partially updated state.
 *
 * @typeParam M - messages in
 * @typeParam E - effects out
 */
export class Task<M, E> {
  private readonly _inbox: M[] = []
  private _busy = false

  /**
   * @param _generator - the decision generator; its first yield is the list of initial effects
   * @param _perform - performs one effect; it must not throw
   */
  constructor (
    private readonly _generator: Generator<readonly E[], void, M>,
    private readonly _perform: (effect: E) => void
  ) {
    this._apply(this._generator.next())
  }

  /**
   * Posts a message to the decision generator.
   *
   * @param msg - processed at once, or after the messages before it
   */
  post (msg: M): void {
    this._inbox.push(msg)
    if (this._busy) return
    this._busy = true
    try {
      for (let next = this._inbox.shift(); next !== undefined; next = this._inbox.shift()) {
        this._apply(this._generator.next(next))
      }
    } finally {
      this._busy = false
    }
  }

  private _apply (step: IteratorResult<readonly E[], void>): void {
    if (step.done === true) return
    for (const effect of step.value) this._perform(effect)
  }
}
