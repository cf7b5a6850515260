/**
 * Lets prompts into one engine at the rate at which it reads them.
 */
import type { Ms } from '@hazelford/core'
import { promptTokensPerMs } from './place-request.js'

/** A request that waits to be let in. */
export interface QueuedPrompt {
  readonly id: string
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly urgency: number
  /** When its first event is due. */
  readonly dueAt: Ms
}

/**
 * Part of an engine's time that prompts take while nobody would be late for it. Between two events
 * of eight tokens the streams that run there then wait for 240 ms; pauses of 300 ms are late. With 0.5
 * prompts waited 60 to 300 ms longer, and held their adapters' slots meanwhile, for no fewer pauses.
 */
const normalPromptShare = 0.65
/** The part taken when prompts would be late otherwise: pauses come to 270 ms. */
const maxPromptShare = 0.75
/**
 * Prompt tokens that may be unread once a prompt is let in; a larger prompt waits until
 * nothing else is. Two prompts of usual size fit; with more, streams that run there pause for too long.
 */
const unreadLimit = 1_500
/** Left over when it is worked out how fast prompts must be let in: steps and messages take some of it. */
const safetyMargin: Ms = 100
/**
 * Part of the full rate up to which prompts go in the order of their due times. Beyond, somebody will
 * be late soon, and it must not be the urgent ones.
 */
const feasibleShare = 0.7
/** Within reach of their due times, a request goes ahead of a less urgent one that is due this much sooner. */
const urgencyLead: Ms = 200
/** Bounds of the learned rate, as parts of the first guess. */
const minSpeed = 0.5
const maxSpeed = 3
/**
 * A stream that paused too long slows the pacer by this part; one that did not speeds it up by less.
 * The two are in balance at three paused streams in a hundred.
 */
const slowDownShare = 0.01
const speedUpShare = 0.0003
/** A ticket that nobody has asked about for this long is forgotten. */
const queuedPromptTtl: Ms = 1_500
/** Time an engine takes from the last prompt token to the first event. */
const firstEventTime: Ms = 60

interface WaitingPrompt extends QueuedPrompt { askedAt: Ms }

/**
 * Paces prompts.
 *
 * Answers bursts: requests come in clumps, an engine reads each prompt at once, and while it
 * reads, every stream that runs there stands still. A first event may come 800 ms after its
 * request, so a clump is spread over that time: as slowly as the due times of those who wait
 * allow, never so fast that streams pause for too long. At one fixed rate,
 * the largest that it can read, more of them are late at any load.
 *
 * While all can be on time, those that must start first go first. When they can't, urgent ones go
 * first, and those that will be late anyway go last: otherwise each is served in its turn and
 * all are late.
 */
export class PromptThrottle {
  private readonly _waiting = new Map<string, WaitingPrompt>()
  /** What was learned of the engine, as part of the first guess. */
  private _speed = 1
  private _rate = promptTokensPerMs * normalPromptShare
  private _unread = 0
  private _unreadSince: Ms = 0
  /** Whether somebody who waits can't be on time at the full rate. */
  private _isSaturated = false

  /** Prompt tokens let in and not yet read, or waiting. */
  backlog (now: Ms): number {
    let waiting = 0
    for (const { tokens } of this._waiting.values()) waiting += tokens
    return this._unreadAt(now) + waiting
  }

  get waiting (): number { return this._waiting.size }

  /** Tokens let in a ms while nobody would be late for it. */
  get rate (): number { return promptTokensPerMs * normalPromptShare * this._speed }

  private get _maxRate (): number { return promptTokensPerMs * maxPromptShare * this._speed }

  private _unreadAt (now: Ms): number { return Math.max(0, this._unread - (now - this._unreadSince) * this._rate) }

  /** Puts a request into the line; its place is by its due time, however often it comes. */
  enqueue (prompt: QueuedPrompt, now: Ms): void {
    const earlier = this._waiting.get(prompt.id)
    if (earlier === undefined) this._waiting.set(prompt.id, { ...prompt, askedAt: now })
    else earlier.askedAt = now
  }

  /**
   * Takes a request out of the line. One that is let in while nobody waits for it would be counted as
   * read, and those behind it would wait for a prompt that never comes.
   */
  withdraw (id: string): void { this._waiting.delete(id) }

  /**
   * Lets requests in.
   *
   * @param now - time
   * @param batchSlots - requests that the engine can begin
   * @returns their ids, in order
   */
  admit (now: Ms, batchSlots = Infinity): readonly string[] {
    this._dropAbandoned(now)
    const queue = this._admissionOrder(now)
    this._isSaturated = queue.some(ticket => this._isLate(ticket, now))
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

  /** When the next request can be let in; undefined when none waits. */
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

  private _isLate ({ tokens, dueAt }: WaitingPrompt, now: Ms): boolean { return now + tokens / this._maxRate + firstEventTime > dueAt }

  /** Tokens a ms at which all who can be on time are let in early enough. */
  private _neededRate (queue: readonly WaitingPrompt[], now: Ms): number {
    let ahead = this._unreadAt(now)
    let needed = 0
    for (const prompt of queue) {
      if (this._isLate(prompt, now)) continue
      const left = prompt.dueAt - now - firstEventTime - safetyMargin
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
   * Takes what entries saw of streams that ended here.
   *
   * Streams without pauses say that the engine is faster than was guessed only while prompts come
   * late: at any other time nothing is gained by reading faster, and the next clump would show.
   *
   * @param streams - how many
   * @param paused - how many of them paused longer than is on time
   */
  adjustSpeed (streams: number, paused: number): void {
    const change = (1 - slowDownShare) ** paused * (1 + speedUpShare) ** (streams - paused)
    const limit = this._isSaturated ? maxSpeed : Math.max(1, this._speed)
    this._speed = Math.min(limit, Math.max(minSpeed, this._speed * change))
  }
}

/** Tokens that may be unread when a prompt is let in. */
function maxUnreadBefore (tokens: number): number { return Math.max(0, unreadLimit - tokens) }
