/**
 * As of when a view of the store is known to be complete.
 */
import { elapsed, type Instant, type Ms } from '@hazelford/core'

interface Confirmation {
  /** Ms by which the view of whoever answered was behind when it was asked. */
  readonly age: Ms
  readonly asked: Instant
}

/**
 * Age of a view, never younger than the truth.
 *
 * An answer may be read long after it was written: the store is slow, the host is frozen, or the answer lies in a buffer. What
 * it tells was true when it was written, and that was surely after its question was sent. So the age counts from there, and what
 * a peer tells counts from the question to the peer, less the age that the peer tells.
 */
export class ViewAge {
  private _latest: Confirmation | undefined

  /**
   * Takes an answer that is in the view by now.
   *
   * @param asked - when its question was sent
   * @param age - ms by which the view of whoever answered was behind
   * @param at - now
   */
  answered (asked: Instant, age: Ms, at: Instant): void {
    const confirmation = { age, asked }
    // Suspended between the question and now, this process can't tell how long ago the question was.
    if (ageOf(confirmation, at) < this.at(at)) this._latest = confirmation
  }

  /** Ms since which the view may have missed something; infinite when nothing proves it. */
  at (at: Instant): Ms { return this._latest === undefined ? Infinity : ageOf(this._latest, at) }
}

function ageOf ({ age, asked }: Confirmation, at: Instant): Ms { return age + elapsed(asked, at) }
