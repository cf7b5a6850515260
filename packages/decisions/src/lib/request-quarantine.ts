/**
 * Which requests are not run any more, since upstreams end under them.
 */
import type { Ms } from '@hazelford/core'

/** When a request is held back, and for how long. */
export interface QuarantineLimits {
  /** Ends of upstreams under a request after which it is held back. */
  readonly after: number
  /** Ms for which it is held back. */
  readonly holdTime: Ms
}

/** The end of an upstream while it had a request. */
export interface UpstreamTermination {
  readonly upstream: string
  readonly at: Ms
}

/**
 * Ends of one upstream closer to each other than this are one: several entries tell of it, each as it saw it. A process that
 * ended takes longer than this to be back.
 */
const sameTerminationWithin: Ms = 1_000
/**
 * Bounds of memory, some 200 bytes each: a hundred upstreams that end with thirty requests each, and the requests that one entry
 * answers in the minute before.
 */
const maxTerminationRecords = 3_000
const maxAnsweredRecords = 1_000
const maxQuarantined = 1_000

/**
 * Ms that a request may have been answered at an upstream to be suspect when that ends. A request that ends its upstream does so as
 * it begins to run: 22 to 273 ms after it was sent there and before its first event, at ten ends in logs of five entries.
 * Some margin is for slow upstreams. Streams last seconds: of 173 answers lost at those ends some 64 were no suspects by this.
 */
const maxAnsweredBeforeTermination: Ms = 1_000

/**
 * Whether a request may have ended its upstream.
 *
 * @param answeredFor - ms from the first to the last data that came of it there; 0 when none did
 */
export function mayHaveCausedTermination (answeredFor: Ms): boolean { return answeredFor <= maxAnsweredBeforeTermination }

/** Forgets the oldest entries of a map beyond a bound. */
function evictOldest (map: Map<string, unknown>, most: number): void {
  for (const oldest of map.keys()) {
    if (map.size <= most) return
    map.delete(oldest)
  }
}

/**
 * Counts the upstreams that ended under each request.
 *
 * A request can end every upstream that begins to run it. Its caller repeats it, and so do entries; each attempt takes an
 * upstream with it, and all that ran there. That goes on for as long as its caller
 * comes back. What else had just begun at those upstreams is suspect too, but was there by chance: it is
 * nearly always answered before it is at a third end.
 *
 * Requests are named by what they ask, since each attempt has an id of its own.
 */
export class RequestQuarantine {
  private readonly _terminations = new Map<string, readonly UpstreamTermination[]>()
  /** Requests held back, and until when; kept for one more hold time, in which they are on probation. */
  private readonly _quarantinedUntil = new Map<string, Ms>()
  /** Requests answered whole, and when. */
  private readonly _answered = new Map<string, Ms>()

  constructor (private _limits: QuarantineLimits) {}

  /** Changes the limits; what is held stays held. */
  limit (limits: QuarantineLimits): void { this._limits = limits }

  get holdTime (): Ms { return this._limits.holdTime }

  /**
   * Notes that an upstream ended while it had a request.
   *
   * A request that was answered lately is no suspect: what ends upstreams is never answered. Without this a check that
   * all callers send would be held back once three upstreams ended of another cause. One that was held back and ends one more
   * upstream afterwards is held back again at once.
   *
   * @returns whether so many upstreams have ended under the request that it should be held back, and is not yet
   */
  recordTermination (request: string, termination: UpstreamTermination, now: Ms): boolean {
    if (this._isQuarantined(request, now) || this.wasAnsweredRecently(request, now)) return false
    const quarantinedUntil = this._probationSince(request, now)
    // Word of what led to the hold may still come after it.
    if (termination.at < quarantinedUntil) return false
    const known = (this._terminations.get(request) ?? []).filter(({ at }) => this._isWithin(at, now) && at >= quarantinedUntil)
    const isKnown = known.some(({ upstream, at }) => upstream === termination.upstream && Math.abs(at - termination.at) < sameTerminationWithin)
    const terminations = isKnown ? known : [...known, termination]
    this._terminations.delete(request)
    this._terminations.set(request, terminations)
    evictOldest(this._terminations, maxTerminationRecords)
    return terminations.length >= (quarantinedUntil === -Infinity ? this._limits.after : 1)
  }

  /** Upstreams that ended under a request. */
  terminatedUpstreams (request: string): readonly string[] { return (this._terminations.get(request) ?? []).map(({ upstream }) => upstream) }

  /** Whether a request was answered whole within the hold time. */
  wasAnsweredRecently (request: string, now: Ms): boolean { return this._isWithin(this._answered.get(request), now) }

  /** Notes that a request was answered whole. */
  recordAnswered (request: string, now: Ms): void {
    this._terminations.delete(request)
    this._quarantinedUntil.delete(request)
    this._answered.delete(request)
    this._answered.set(request, now)
    evictOldest(this._answered, maxAnsweredRecords)
  }

  /**
   * Holds a request back, unless it was answered here lately.
   *
   * @returns whether it is held and was not before
   */
  hold (request: string, now: Ms): boolean {
    if (this._isQuarantined(request, now) || this.wasAnsweredRecently(request, now)) return false
    this._quarantinedUntil.delete(request)
    this._quarantinedUntil.set(request, now + this._limits.holdTime)
    evictOldest(this._quarantinedUntil, maxQuarantined)
    return true
  }

  /**
   * Whether a request is held back.
   *
   * Asking for it does not prolong that: a sound request that many callers send, blamed by chance, would be refused for ever.
   */
  holds (request: string, now: Ms): boolean { return this._isQuarantined(request, now) }

  /** Requests held back, with the time until which they are. */
  held (now: Ms): ReadonlyMap<string, Ms> {
    return new Map([...this._quarantinedUntil].filter(([, until]) => until > now))
  }

  private _isQuarantined (request: string, now: Ms): boolean { return (this._quarantinedUntil.get(request) ?? -Infinity) > now }

  /** When the hold of a request on probation ended; -Infinity for one that is not. */
  private _probationSince (request: string, now: Ms): Ms {
    const until = this._quarantinedUntil.get(request)
    return until !== undefined && this._isWithin(until, now) ? until : -Infinity
  }

  private _isWithin (at: Ms | undefined, now: Ms): boolean { return at !== undefined && now - at < this._limits.holdTime }
}
