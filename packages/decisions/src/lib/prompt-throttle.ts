/**
 * Admits prompts to one engine at the rate at which the engine reads them.
 */
import type { Ms } from '@hazelford/core'
import { promptTokensPerMs } from './place-request.js'

/** A request that waits for admission. */
export interface QueuedPrompt {
  readonly id: string
  readonly tokens: number
  /** Priority; 0 is the most urgent. */
  readonly urgency: number
  /** Latest time at which its first event is in time. */
  readonly dueAt: Ms
}

/**
 * Share of an engine's time that prompts take while no request would be late for it. Streams that run there then wait
 * for 240 ms between two events of eight tokens; pauses of 300 ms are late. With a share of 0.5, prompts wait 60 to 300 ms
 * longer and occupy their adapter slots meanwhile, and no fewer streams pause for too long.
 */
const normalPromptShare = 0.65
/** Share of an engine's time that prompts take when requests would be late otherwise: streams then pause for up to 270 ms. */
const maxPromptShare = 0.75
/**
 * Prompt tokens that may be unread after a prompt is admitted; a larger prompt waits until nothing else is unread. Two
 * prompts of usual size fit. With more, streams that run there pause for too long.
 */
const unreadLimit = 1_500
/**
 * Margin in the computation of the rate at which prompts must be admitted: engine steps and messages take some of the
 * time.
 */
const safetyMargin: Ms = 100
/**
 * Share of the highest rate up to which prompts are admitted in the order of their due times. Beyond it some requests
 * will soon be late, and these must not be the urgent ones.
 */
const feasibleShare = 0.7
/**
 * While requests can still be in time, a request goes ahead of one of the next lower priority that is due sooner by up
 * to this time.
 */
const urgencyLead: Ms = 200
/** Bounds of the learned speed, as multiples of the measured one. */
const minSpeed = 0.5
const maxSpeed = 3
/**
 * A stream that paused too long lowers the learned speed by this share; one that did not raises it by a smaller one.
 * The two are in balance at three paused streams in a hundred.
 */
const slowDownShare = 0.01
const speedUpShare = 0.0003
/** A prompt whose entry has not asked about it for this long is dropped. */
const queuedPromptTtl: Ms = 1_500
/** Time from the last prompt token that an engine of speed 1 reads to the first event. */
const firstEventTime: Ms = 60

interface WaitingPrompt extends QueuedPrompt { askedAt: Ms }

/**
 * Limits the rate of prompts.
 *
 * Requests come in bursts. An engine reads each prompt at once, and while it reads, every stream that runs there stands
 * still. A first event may come 800 ms after its request, so the throttle spreads a burst over that time: as slowly as
 * the due times of the waiting requests allow, and never so fast that streams pause for too long. At one fixed rate,
 * the largest that the engine can read, more requests are late at any load.
 *
 * While all requests can be in time, those that must start first go first. When they can't, urgent requests go first,
 * and those that will be late anyway go last: served by age alone, all of them would be late.
 */
export class PromptThrottle {
  private readonly _waiting = new Map<string, WaitingPrompt>()
  /** Learned speed of the engine, as a multiple of the measured one. */
  private _speed = 1
  /** Measured speed of the engine, as a multiple of {@link promptTokensPerMs}. */
  private _measuredSpeed = 1
  private _rate = promptTokensPerMs * normalPromptShare
  private _unread = 0
  private _unreadSince: Ms = 0
  /** Whether a waiting request can't be in time even at the highest rate. */
  private _isSaturated = false

  /** Prompt tokens that are admitted and not yet read, or that wait for admission. */
  backlog (now: Ms): number {
    let waiting = 0
    for (const { tokens } of this._waiting.values()) waiting += tokens
    return this._unreadAt(now) + waiting
  }

  get waiting (): number { return this._waiting.size }

  /** Tokens admitted per ms while no request would be late for it. */
  get rate (): number { return promptTokensPerMs * normalPromptShare * this._speed * this._measuredSpeed }

  private get _maxRate (): number { return promptTokensPerMs * maxPromptShare * this._speed * this._measuredSpeed }

  private _unreadAt (now: Ms): number { return Math.max(0, this._unread - (now - this._unreadSince) * this._rate) }

  /** Queues a prompt. Its position depends on its due time, however often its entry asks. */
  enqueue (prompt: QueuedPrompt, now: Ms): void {
    const earlier = this._waiting.get(prompt.id)
    if (earlier === undefined) this._waiting.set(prompt.id, { ...prompt, askedAt: now })
    else earlier.askedAt = now
  }

  /**
   * Removes a request from the queue. If a request were admitted after its caller has left, its prompt would count as
   * being read, and the requests behind it would wait for a prompt that never comes.
   */
  withdraw (id: string): void { this._waiting.delete(id) }

  /**
   * Admits requests.
   *
   * @param now - time
   * @param batchSlots - requests that the engine can start
   * @returns their ids, in order of admission
   */
  admit (now: Ms, batchSlots = Infinity): readonly string[] {
    this._dropAbandoned(now)
    const queue = this._admissionOrder(now)
    this._isSaturated = queue.some(prompt => this._isLate(prompt, now))
    this._setRate(queue, now)
    const admitted: string[] = []
    for (const { id, tokens } of queue) {
      if (admitted.length >= batchSlots || this._unread > maxUnreadBefore(tokens)) break
      this._waiting.delete(id)
      this._unread += tokens
      admitted.push(id)
    }
    return admitted
  }

  /** Time at which the next request can be admitted; undefined when none waits. */
  nextAdmissionAt (now: Ms): Ms | undefined {
    const [next] = this._admissionOrder(now)
    return next === undefined ? undefined : now + Math.max(0, this._unreadAt(now) - maxUnreadBefore(next.tokens)) / this._rate
  }

  private _dropAbandoned (now: Ms): void {
    for (const { id, askedAt } of this._waiting.values()) if (now - askedAt > queuedPromptTtl) this._waiting.delete(id)
  }

  private _admissionOrder (now: Ms): readonly WaitingPrompt[] {
    const byStart = [...this._waiting.values()].sort((a, b) => this._compareStarts(a, b, now))
    if (this._neededRate(byStart, now) <= this._maxRate * feasibleShare) return byStart
    return byStart.sort((a, b) => this._compareUrgency(a, b, now))
  }

  private _compareStarts (a: WaitingPrompt, b: WaitingPrompt, now: Ms): number {
    return this._compareLateness(a, b, now) || this._latestStart(a) - this._latestStart(b)
  }

  private _compareUrgency (a: WaitingPrompt, b: WaitingPrompt, now: Ms): number {
    return a.urgency - b.urgency || this._compareLateness(a, b, now) || a.dueAt - b.dueAt
  }

  private _compareLateness (a: WaitingPrompt, b: WaitingPrompt, now: Ms): number { return Number(this._isLate(a, now)) - Number(this._isLate(b, now)) }

  private _latestStart ({ tokens, dueAt, urgency }: WaitingPrompt): Ms { return dueAt - tokens / this._maxRate + urgency * urgencyLead }

  private _isLate ({ tokens, dueAt }: WaitingPrompt, now: Ms): boolean { return now + tokens / this._maxRate + this._firstEventTime > dueAt }

  /** Tokens per ms at which all requests that can be in time are admitted early enough. */
  private _neededRate (queue: readonly WaitingPrompt[], now: Ms): number {
    let ahead = this._unreadAt(now)
    let needed = 0
    for (const prompt of queue) {
      if (this._isLate(prompt, now)) continue
      const left = prompt.dueAt - now - this._firstEventTime - safetyMargin
      needed = Math.max(needed, left > 0 ? ahead / left : Infinity)
      ahead += prompt.tokens
    }
    return needed
  }

  private _setRate (queue: readonly WaitingPrompt[], now: Ms): void {
    this._unread = this._unreadAt(now)
    this._unreadSince = now
    this._rate = Math.min(this._maxRate, Math.max(this.rate, this._neededRate(queue, now)))
  }

  /**
   * Adjusts the learned speed by what entries report of streams that ended at this engine.
   *
   * Streams without pauses show that the engine is faster than estimated only while requests are late. At any other
   * time reading faster gains nothing, and the next burst would make streams pause.
   *
   * @param streams - number of streams that ended
   * @param paused - number of them that paused for too long
   */
  adjustSpeed (streams: number, paused: number): void {
    const change = (1 - slowDownShare) ** paused * (1 + speedUpShare) ** (streams - paused)
    const limit = this._isSaturated ? maxSpeed : Math.max(1, this._speed)
    this._speed = Math.min(limit, Math.max(minSpeed, this._speed * change))
  }

  /**
   * Applies a measurement of the engine's speed. What was learned in place of it counts no longer.
   *
   * @param speed - as a multiple of {@link promptTokensPerMs}
   */
  setMeasuredSpeed (speed: number): void {
    const change = speed / this._measuredSpeed
    this._measuredSpeed = speed
    if (change < 1 && this._speed < 1) this._speed = Math.min(1, this._speed / change)
    if (change > 1 && this._speed > 1) this._speed = Math.max(1, this._speed / change)
  }

  private get _firstEventTime (): Ms { return firstEventTime / this._measuredSpeed }
}

/** Prompt tokens that may be unread when a prompt is admitted. */
function maxUnreadBefore (tokens: number): number { return Math.max(0, unreadLimit - tokens) }
