/**
 * Admits prompts to one engine at the rate at which the engine reads them.
 */
import type { Ms } from '@hazelford/core'
import { FairShares } from './fair-shares.js'
import { promptTokensPerMs } from './place-request.js'

/** A request that waits for admission. */
export interface QueuedPrompt {
  readonly id: string
  readonly tokens: number
  /** Priority; 0 is the most urgent. */
  readonly urgency: number
  /** Latest time at which its first event is in time. */
  readonly dueAt: Ms
  /** Organisation that sends the request; undefined without one, and from an entry of a version that does not send it. */
  readonly organisation?: string
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

/** A request that waited noticeably since requests of others went first by their shares. */
export interface DeferredPrompt {
  readonly id: string
  readonly organisation: string | undefined
  readonly waited: Ms
  /** Number of requests that went first. */
  readonly overtakenBy: number
}

/** Wait from which a caller notices that requests of others went first. */
const noticeableWait: Ms = 250

interface WaitingPrompt extends QueuedPrompt {
  readonly since: Ms
  askedAt: Ms
  /** Number of requests that went first by their shares. */
  overtakenBy: number
}

/**
 * What is too little for all waiting requests to be in time.
 *
 * - `rate`: the rate that they need is close to the highest one.
 * - `time`: all of them are late, or some will be once a batch slot is free.
 */
type Shortage = 'none' | 'rate' | 'time'

interface WaitingQueue { readonly inOrder: readonly WaitingPrompt[], readonly shortage: Shortage }

/**
 * Limits the rate of prompts.
 *
 * Requests come in bursts. An engine reads each prompt at once, and while it reads, every stream that runs there stands
 * still. A first event may come 800 ms after its request, so the throttle spreads a burst over that time: as slowly as
 * the due times of the waiting requests allow, and never so fast that streams pause for too long. At one fixed rate,
 * the largest that the engine can read, more requests are late at any load.
 *
 * While all requests can be in time, those that must start first go first. When they can't, urgent requests go first,
 * and those that will be late anyway go last: served by age alone, all of them would be late. Between organisations the
 * engine is then shared by {@link FairShares}.
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
  private readonly _shares = new FairShares<WaitingPrompt>()
  /** Requests that were withdrawn lately. The entry of most of them asks again at once. */
  private readonly _withdrawn = new Map<string, WaitingPrompt>()
  private readonly _deferred: DeferredPrompt[] = []
  /** Expected wait of the last request in the queue for a batch slot. */
  private _slotWait: Ms = 0

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
    if (earlier !== undefined) {
      earlier.askedAt = now
      return
    }
    const before = this._withdrawn.get(prompt.id)
    this._withdrawn.delete(prompt.id)
    const waiting = { ...prompt, since: before?.since ?? now, overtakenBy: before?.overtakenBy ?? 0, askedAt: now }
    this._waiting.set(prompt.id, waiting)
    if (before === undefined) this._shares.recordArrival(waiting, prompt.tokens, now)
  }

  /** Returns the requests admitted since the last call that waited noticeably because of shares. */
  takeDeferred (): readonly DeferredPrompt[] { return this._deferred.splice(0) }

  /** Share of the prompt tokens that one organisation received while the engine was short, 0 to 1. */
  shareOf (organisation: string | undefined, now: Ms): number { return this._shares.share(organisation, now) }

  /**
   * Removes a request from the queue. If a request were admitted after its caller has left, its prompt would count as
   * being read, and the requests behind it would wait for a prompt that never comes.
   */
  withdraw (id: string): void {
    const prompt = this._waiting.get(id)
    if (prompt === undefined) return
    this._waiting.delete(id)
    this._withdrawn.set(id, prompt)
  }

  /**
   * Admits requests.
   *
   * @param now - time
   * @param batchSlots - requests that the engine can start
   * @param slotWait - expected wait of the last request in the queue for a batch slot
   * @returns their ids, in order of admission
   */
  admit (now: Ms, batchSlots = Infinity, slotWait: Ms = 0): readonly string[] {
    this._dropAbandoned(now)
    this._slotWait = slotWait
    const queue = this._queue(now)
    this._isSaturated = queue.inOrder.some(prompt => this._isLate(prompt, now))
    this._setRate(queue.inOrder, now)
    const admitted: string[] = []
    for (const prompt of this._admissionOrder(queue, now)) {
      const { id, tokens } = prompt
      if (admitted.length >= batchSlots || this._unread > maxUnreadBefore(tokens)) break
      if (queue.shortage !== 'none') this._recordShare(prompt, queue, now)
      this._recordDeferral(prompt, now)
      this._waiting.delete(id)
      this._unread += tokens
      admitted.push(id)
    }
    return admitted
  }

  /** Time at which the next request can be admitted; undefined when none waits. */
  nextAdmissionAt (now: Ms): Ms | undefined {
    const [next] = this._admissionOrder(this._queue(now), now)
    return next === undefined ? undefined : now + Math.max(0, this._unreadAt(now) - maxUnreadBefore(next.tokens)) / this._rate
  }

  private _dropAbandoned (now: Ms): void {
    for (const prompts of [this._waiting, this._withdrawn]) {
      for (const { id, askedAt } of prompts.values()) if (now - askedAt > queuedPromptTtl) prompts.delete(id)
    }
  }

  /** Records a request that is admitted while the engine is short, and those that it overtakes. */
  private _recordShare (prompt: WaitingPrompt, { inOrder }: WaitingQueue, now: Ms): void {
    this._shares.recordServed(prompt, [...this._waiting.values()], { now, cost: promptCost })
    for (const other of inOrder) {
      if (other === prompt) break
      if (this._waiting.has(other.id)) other.overtakenBy++
    }
  }

  private _recordDeferral ({ id, organisation, overtakenBy, since }: WaitingPrompt, now: Ms): void {
    const waited = now - since
    if (overtakenBy > 0 && waited >= noticeableWait) this._deferred.push({ id, organisation, waited, overtakenBy })
  }

  /** The waiting requests in the order in which those of one organisation are admitted, and what is short. */
  private _queue (now: Ms): WaitingQueue {
    const byStart = [...this._waiting.values()].sort((a, b) => this._compareStarts(a, b, now))
    const shortage = this._shortage(byStart, now)
    return { inOrder: shortage === 'rate' ? byStart.sort((a, b) => this._compareUrgency(a, b, now)) : byStart, shortage }
  }

  private _admissionOrder ({ inOrder, shortage }: WaitingQueue, now: Ms): Iterable<WaitingPrompt> {
    return shortage === 'none' ? inOrder : this._shares.order(inOrder, { now, cost: promptCost, isLate: prompt => this._isLate(prompt, now) })
  }

  private _shortage (byStart: readonly WaitingPrompt[], now: Ms): Shortage {
    if (this._neededRate(byStart, now) > this._maxRate * feasibleShare) return 'rate'
    const inTime = byStart.filter(prompt => !this._isLate(prompt, now))
    return inTime.length === 0 || inTime.some(prompt => this._isLate(prompt, now + this._slotWait)) ? 'time' : 'none'
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

function promptCost ({ tokens }: WaitingPrompt): number { return tokens }

/** Prompt tokens that may be unread when a prompt is admitted. */
function maxUnreadBefore (tokens: number): number { return Math.max(0, unreadLimit - tokens) }
