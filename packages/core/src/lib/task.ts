/**
 * A task owns its state and its sockets; others only post messages to it.
 */

/**
 * Runs a decision generator: one message in, a list of effects out.
 *
 * Messages posted while an effect is being performed wait their turn, so a
 * decision never sees its own state half changed.
 *
 * @typeParam M - messages in
 * @typeParam E - effects out
 */
export class Task<M, E> {
  private readonly _inbox: M[] = []
  private _busy = false

  /**
   * @param _decide - the decisions; their first yield is the list of opening effects
   * @param _perform - carries one effect out; it must not throw
   */
  constructor (
    private readonly _decide: Generator<readonly E[], void, M>,
    private readonly _perform: (effect: E) => void
  ) {
    this._apply(this._decide.next())
  }

  /**
   * Hands a message to the decisions.
   *
   * @param msg - processed at once, or after the message being processed
   */
  post (msg: M): void {
    this._inbox.push(msg)
    if (this._busy) return
    this._busy = true
    try {
      for (let next = this._inbox.shift(); next !== undefined; next = this._inbox.shift()) {
        this._apply(this._decide.next(next))
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
