/**
 * Quarantines requests that terminate the upstreams that run them.
 */
import type { Ms } from '@hazelford/core'
import { evictOldest } from './evict-oldest.js'
import { countMoments } from './termination-moments.js'

/** Limits from which a request is quarantined, and for how long. */
export interface QuarantineLimits {
  /** Number of terminations of upstreams that were running a request after which the request is quarantined. */
  readonly after: number
  /** Ms for which the request is quarantined. */
  readonly holdTime: Ms
}

/** The termination of an upstream while it had a request. */
export interface UpstreamTermination {
  readonly upstream: string
  readonly at: Ms
}

/**
 * Terminations of one upstream that are closer to each other than this count as one: several entries report it, each at the
 * time at which it noticed. A process that has terminated takes longer than this to restart.
 */
const sameTerminationWithin: Ms = 1_000
/**
 * Bounds on memory, at some 200 bytes a record. They cover a hundred upstreams that terminate with thirty requests
 * each, and the requests that one entry answers within a minute.
 */
const maxTerminationRecords = 3_000
const maxAnsweredRecords = 1_000
const maxQuarantined = 1_000

/**
 * Longest time, in ms, for which a request may have received data from an upstream and still be the likely cause of its
 * termination. A request that terminates its upstream does so as it starts to run: 22 to 273 ms after it was sent there
 * and before its first event, at ten terminations in the logs of five entries. The margin is for slow upstreams.
 * Streams last seconds: of 173 answers lost in those terminations, some 64 were ruled out by this limit.
 */
const maxAnsweredBeforeTermination: Ms = 1_000

/**
 * Whether a request may have caused the termination of its upstream.
 *
 * @param answeredFor - ms from the first to the last data that the upstream sent for the request; 0 when it sent none
 */
export function mayHaveCausedTermination (answeredFor: Ms): boolean { return answeredFor <= maxAnsweredBeforeTermination }

/**
 * A request that was answered within the hold time, before the terminations, takes this many times the terminations, spread
 * over this many moments: it may be a check that all callers send, which is at every upstream of a lost rack.
 */
const answeredFactor = 2
const answeredMoments = 3

/** Ms for which an upstream must go on sending after it began an answer, to show that the parts of its prompt do no harm. */
const harmlessAfter: Ms = 300

/**
 * Whether an answer shows that no part of its prompt terminates upstreams: such a part does so as the answer begins.
 *
 * @param answeredFor - ms from the first to the last data that the upstream sent for the request
 */
export function provesPartHarmless (answeredFor: Ms): boolean { return answeredFor >= harmlessAfter }

/**
 * Counts, for each request, the terminations of upstreams that were running it.
 *
 * A request can terminate every upstream that starts to run it. Its caller repeats it and entries retry it; each
 * attempt terminates one more upstream, with all requests that run there, for as long as the caller repeats it. Other
 * requests that had just started at those upstreams are counted too. They were there by chance, and are nearly always
 * answered before they are at a third termination.
 *
 * A request is identified by its content, since each attempt has an id of its own.
 */
export class RequestQuarantine {
  private readonly _terminations = new Map<string, readonly UpstreamTermination[]>()
  /**
   * Quarantined requests and the end of their quarantine. A request is kept here for one more hold time, in which it is on
   * probation.
   */
  private readonly _quarantinedUntil = new Map<string, Ms>()
  /** Requests that were answered completely, and when. */
  private readonly _answered = new Map<string, Ms>()

  constructor (private _limits: QuarantineLimits) {}

  /** Changes the limits; requests that are quarantined stay so. */
  limit (limits: QuarantineLimits): void { this._limits = limits }

  get holdTime (): Ms { return this._limits.holdTime }

  /**
   * Records that an upstream terminated while it had a request.
   *
   * An answer clears the request of the terminations before it, and of no later ones: a request may become harmful at any
   * time. One that was answered recently takes more terminations. Otherwise a check that all callers send would be
   * quarantined after three upstreams have terminated for another reason. A request that was quarantined and then
   * terminates one more upstream during its probation is quarantined again at once.
   *
   * @returns whether so many upstreams have terminated while running the request that it should be quarantined, and is
   * not yet
   */
  recordTermination (request: string, termination: UpstreamTermination, now: Ms): boolean {
    if (this._isQuarantined(request, now) || termination.at <= (this.answeredAt(request, now) ?? -Infinity)) return false
    const quarantinedUntil = this._probationSince(request, now)
    // Reports of the terminations that led to the quarantine may still arrive after it.
    if (termination.at < quarantinedUntil) return false
    const known = (this._terminations.get(request) ?? []).filter(({ at }) => this._isWithinHoldTime(at, now) && at >= quarantinedUntil)
    const isKnown = known.some(({ upstream, at }) => upstream === termination.upstream && Math.abs(at - termination.at) < sameTerminationWithin)
    const terminations = isKnown ? known : [...known, termination]
    this._terminations.delete(request)
    this._terminations.set(request, terminations)
    evictOldest(this._terminations, maxTerminationRecords)
    return this.isDue(request, now)
  }

  /** Whether so many upstreams have terminated while running a request that it should be quarantined. */
  isDue (request: string, now: Ms): boolean {
    const times = (this._terminations.get(request) ?? []).map(({ at }) => at)
    if (this._probationSince(request, now) !== -Infinity) return times.length >= 1
    if (this.answeredAt(request, now) === undefined) return times.length >= this._limits.after
    return times.length >= answeredFactor * this._limits.after && countMoments(times) >= answeredMoments
  }

  /** When the first of the terminations occurred that count against a request; undefined when there are none. */
  terminatedSince (request: string): Ms | undefined {
    const times = (this._terminations.get(request) ?? []).map(({ at }) => at)
    return times.length === 0 ? undefined : Math.min(...times)
  }

  /** Upstreams that terminated while running a request. */
  terminatedUpstreams (request: string): readonly string[] { return (this._terminations.get(request) ?? []).map(({ upstream }) => upstream) }

  /** When the newest answer to a request began that was completed; undefined when that was not within the hold time. */
  answeredAt (request: string, now: Ms): Ms | undefined {
    const at = this._answered.get(request)
    return this._isWithinHoldTime(at, now) ? at : undefined
  }

  /**
   * Records that a request was answered completely.
   *
   * @param since - when its answer began
   */
  recordAnswered (request: string, since: Ms): void {
    const at = Math.max(since, this._answered.get(request) ?? -Infinity)
    const later = (this._terminations.get(request) ?? []).filter(termination => termination.at > at)
    this._terminations.delete(request)
    if (later.length > 0) this._terminations.set(request, later)
    // An answer that had begun before the quarantine says nothing about the terminations that led to it.
    if (at >= this._quarantinedSince(request)) this._quarantinedUntil.delete(request)
    this._answered.delete(request)
    this._answered.set(request, at)
    evictOldest(this._answered, maxAnsweredRecords)
  }

  /**
   * Quarantines a request, unless it was answered here since the terminations.
   *
   * @param terminatedSince - time of the first termination that counts against it; undefined when that is not known, and
   * any recent answer speaks against the quarantine
   * @returns whether it is quarantined now and was not before
   */
  quarantine (request: string, now: Ms, terminatedSince = -Infinity): boolean {
    if (this._isQuarantined(request, now) || (this.answeredAt(request, now) ?? -Infinity) > terminatedSince) return false
    this._quarantinedUntil.delete(request)
    this._quarantinedUntil.set(request, now + this._limits.holdTime)
    evictOldest(this._quarantinedUntil, maxQuarantined)
    return true
  }

  /**
   * Whether a request is quarantined.
   *
   * A repeated request does not prolong its quarantine. Otherwise a harmless request that many callers send,
   * quarantined by chance, would be refused for ever.
   */
  isQuarantined (request: string, now: Ms): boolean { return this._isQuarantined(request, now) }

  /** Whether a suspect's quarantine has ended, and it is not known yet whether it does harm. */
  isOnProbation (suspect: string, now: Ms): boolean {
    return !this._isQuarantined(suspect, now) && this._probationSince(suspect, now) !== -Infinity
  }

  /** Whether any suspect is quarantined or on probation. */
  get hasSuspects (): boolean { return this._quarantinedUntil.size > 0 }

  /** Ends the probation of a suspect, which does no harm. */
  release (suspect: string): void {
    this._terminations.delete(suspect)
    this._quarantinedUntil.delete(suspect)
  }

  /** Quarantined requests with the end of their quarantine. */
  quarantinedRequests (now: Ms): ReadonlyMap<string, Ms> {
    return new Map([...this._quarantinedUntil].filter(([, until]) => until > now))
  }

  private _quarantinedSince (request: string): Ms { return (this._quarantinedUntil.get(request) ?? -Infinity) - this._limits.holdTime }

  private _isQuarantined (request: string, now: Ms): boolean { return (this._quarantinedUntil.get(request) ?? -Infinity) > now }

  /** End of the quarantine of a request on probation; -Infinity for a request that is not. */
  private _probationSince (request: string, now: Ms): Ms {
    const until = this._quarantinedUntil.get(request)
    return until !== undefined && this._isWithinHoldTime(until, now) ? until : -Infinity
  }

  private _isWithinHoldTime (at: Ms | undefined, now: Ms): boolean { return at !== undefined && now - at < this._limits.holdTime }
}
