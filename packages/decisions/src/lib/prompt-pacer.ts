/**
 * Lets prompts into one engine at the rate at which it reads them.
 */
import type { Ms } from '@hazelford/core'
import { promptTokensPerMs } from './place-request.js'

/** A request that waits to be let in. */
export interface PromptTicket {
  readonly id: string
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly urgency: number
  /** When its first event is due. */
  readonly dueAt: Ms
}

/**
 * Part of an engine's time that prompts may take. The streams that run there share the rest:
 * at 0.85 an event of five tokens, 7 ms each, comes after 230 ms; pauses of 300 ms are late.
 */
const promptShare = 0.85
/**
 * Prompt tokens that may be unread when the next prompt is let in. The largest prompts take
 * some 200 ms; behind more than this the streams would pause for longer than is on time.
 */
const unreadLimit = 1_000
/** Bounds of the learned rate, as parts of the first guess. */
const slowest = 0.4
const fastest = 2
/** A stream that paused too long slows the pacer by this part; one that did not speeds it up by less. */
const slowDown = 0.02
const speedUp = 0.0015
/** A ticket that nobody has asked about for this long is forgotten. */
const ticketLasts: Ms = 1_500
/** Time an engine takes from the last prompt token to the first event. */
const firstEventTime: Ms = 60

interface Waiting extends PromptTicket { readonly since: Ms, askedAt: Ms }

/**
 * Paces prompts.
 *
 * Answers bursts: requests come in clumps, an engine reads each prompt at once, and while it
 * reads, every stream that runs there stands still. Let in one after the other, a clump makes
 * some first events 100 ms later, which is still on time, instead of making all streams late.
 *
 * When prompts come faster than they can be read, those that can still be on time go first:
 * otherwise each is served in its turn and all are late.
 */
export class PromptPacer {
  private readonly _waiting = new Map<string, Waiting>()
  private _rate = promptTokensPerMs * promptShare
  private _unread = 0
  private _at: Ms = 0

  /** Prompt tokens let in and not yet read, or waiting. */
  backlog (now: Ms): number {
    let waiting = 0
    for (const { tokens } of this._waiting.values()) waiting += tokens
    return this._unreadAt(now) + waiting
  }

  get waiting (): number { return this._waiting.size }

  /** Tokens let in a ms. */
  get rate (): number { return this._rate }

  private _unreadAt (now: Ms): number { return Math.max(0, this._unread - (now - this._at) * this._rate) }

  /** Puts a request into the line; asking again keeps its place. */
  offer (ticket: PromptTicket, now: Ms): void {
    const earlier = this._waiting.get(ticket.id)
    if (earlier === undefined) this._waiting.set(ticket.id, { ...ticket, since: now, askedAt: now })
    else earlier.askedAt = now
  }

  /** Takes a request out of the line. */
  withdraw (id: string): void { this._waiting.delete(id) }

  /**
   * Lets requests in.
   *
   * @param now - time
   * @returns their ids, in order
   */
  admit (now: Ms): readonly string[] {
    this._forgetOld(now)
    const admitted: string[] = []
    while (this._waiting.size > 0 && this._unreadAt(now) <= unreadLimit) {
      const next = this._first(now)
      this._waiting.delete(next.id)
      this._unread = this._unreadAt(now) + next.tokens
      this._at = now
      admitted.push(next.id)
    }
    return admitted
  }

  /** When the next request can be let in; undefined when none waits. */
  nextAt (now: Ms): Ms | undefined {
    if (this._waiting.size === 0) return undefined
    return now + Math.max(0, this._unreadAt(now) - unreadLimit) / this._rate
  }

  private _forgetOld (now: Ms): void {
    for (const { id, askedAt } of this._waiting.values()) if (now - askedAt > ticketLasts) this._waiting.delete(id)
  }

  private _first (now: Ms): Waiting {
    let best: Waiting | undefined
    for (const ticket of this._waiting.values()) if (best === undefined || this._before(ticket, best, now)) best = ticket
    return best!
  }

  private _before (a: Waiting, b: Waiting, now: Ms): boolean {
    if (a.urgency !== b.urgency) return a.urgency < b.urgency
    const [aLate, bLate] = [this._isLate(a, now), this._isLate(b, now)]
    return aLate === bLate ? a.since < b.since : bLate
  }

  private _isLate ({ tokens, dueAt }: Waiting, now: Ms): boolean { return now + tokens / this._rate + firstEventTime > dueAt }

  /**
   * Takes what entries saw of streams that ended here.
   *
   * @param streams - how many
   * @param paused - how many of them paused longer than is on time
   */
  learn (streams: number, paused: number): void {
    const change = (1 - slowDown) ** paused * (1 + speedUp) ** (streams - paused)
    const base = promptTokensPerMs * promptShare
    this._rate = Math.min(base * fastest, Math.max(base * slowest, this._rate * change))
  }
}
