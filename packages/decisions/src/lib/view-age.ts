/**
 * Age of a view of the store: the time since which it may have missed changes.
 */
import { elapsed, type Instant, type Ms } from '@hazelford/core'

interface Confirmation {
  /** Ms by which the view of the process that answered was behind when it was asked. */
  readonly age: Ms
  readonly asked: Instant
}

/**
 * Age of a view, never lower than its true age.
 *
 * An answer may be read long after it was written: the store is slow, the host is frozen, or the answer lies in a
 * buffer. It was true when it was written, which was certainly after its question was sent. So the age counts from the
 * question. A peer's answer counts from the question to the peer, plus the age that the peer reports for its own view.
 */
export class ViewAge {
  private _latest: Confirmation | undefined

  /**
   * Records an answer that has been applied to the view.
   *
   * @param asked - when its question was sent
   * @param age - ms by which the view of the process that answered was behind
   * @param at - now
   */
  recordAnswer (asked: Instant, age: Ms, at: Instant): void {
    const confirmation = { age, asked }
    // If this process was suspended after the question, it can't tell how long ago the question was sent.
    if (ageOf(confirmation, at) < this.at(at)) this._latest = confirmation
  }

  /** Ms for which the view may have missed changes; infinite when no answer limits it. */
  at (at: Instant): Ms { return this._latest === undefined ? Infinity : ageOf(this._latest, at) }
}

function ageOf ({ age, asked }: Confirmation, at: Instant): Ms { return age + elapsed(asked, at) }
