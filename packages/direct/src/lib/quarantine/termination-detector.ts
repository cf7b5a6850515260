/**
 * Detects upstreams that terminated while running requests of this entry.
 */
import type { CancelTimer, Clock, Log, Ms } from '@hazelford/core'
import type { ProbeOutcome } from '../peers/connection-probe.js'
import type { Upstream } from '../placing/upstream.js'

/** What of a request may terminate the upstream that runs it. */
export interface RequestSuspects {
  /** Its fingerprint. */
  readonly request: string
  /** Parts of its prompt that other requests may have in common with it. */
  readonly parts: readonly string[]
}

/** A request that an upstream was running when it terminated. */
export interface InterruptedRequest extends RequestSuspects {
  /** When its answer was lost. */
  readonly at: Ms
}

/** What the detector needs of its entry. */
export interface TerminationDetectorOptions {
  readonly clock: Clock
  readonly log: Log
  /** Probes whether a process listens at an upstream's address. */
  readonly probe: (upstream: Upstream) => Promise<ProbeOutcome>
  /** Called when an upstream has terminated; `lost`: the requests that may have been the cause. */
  readonly terminated: (upstream: Upstream, lost: readonly InterruptedRequest[]) => void
}

/** How it was detected that an upstream has terminated. */
type Evidence = 'nobody listens' | 'record gone'

/** Lost answers of one upstream that may have terminated. */
interface Suspicion {
  readonly lost: Map<string, InterruptedRequest>
  readonly forget: CancelTimer
  /** Whether its address is being probed. */
  probing: boolean
}

/**
 * How long a lost answer is remembered. The record of an upstream that terminated is removed from the store within
 * four seconds; an outage of the store lengthens that to some eight.
 */
const lostAnswerTtl: Ms = 10_000

/**
 * Matches lost answers with terminations of upstreams.
 *
 * A connection breaks for many reasons: the upstream resets it, a link fails, an answer is cut short. A request is
 * suspect only if its upstream has terminated too. That shows at once, when no process listens at its address any
 * more, or some seconds later, when its record is removed or has a later start time.
 */
export class TerminationDetector {
  private readonly _suspicions = new Map<Upstream, Suspicion>()
  private readonly _terminatedAt = new WeakMap<Upstream, Ms>()

  constructor (private readonly _options: TerminationDetectorOptions) {}

  /**
   * Records a request whose answer was lost, or is late, at an upstream.
   *
   * @param broke - whether the request's connection has ended. An upstream that is merely silent is not probed: streams
   *   stall at full engines all the time, and a probe's connection occupies a batch slot of the engine for a moment
   */
  recordLostAnswer (upstream: Upstream, suspects: RequestSuspects, broke: boolean): void {
    // An upstream that leaves terminates by itself, so the requests that it still runs are not suspect.
    if (upstream.record.state === 'draining') return
    const suspicion = this._suspicions.get(upstream) ?? this._suspect(upstream)
    suspicion.lost.set(suspects.request, { ...suspects, at: this._options.clock.now() })
    if (!broke || suspicion.probing) return
    suspicion.probing = true
    this._probe(upstream, suspicion).catch((error: Error) => {
      this._options.log.warn('membership', 'upstream probe failed.', { upstream: upstream.id, error: error.message })
    })
  }

  /** The record of an upstream was removed from the store, or now has a later start time. */
  recordGone (upstream: Upstream): void {
    if (upstream.record.state !== 'draining') this._confirm(upstream, 'record gone')
  }

  /** Whether an upstream was found to have terminated since a time. */
  hasTerminatedSince (upstream: Upstream, at: Ms): boolean { return (this._terminatedAt.get(upstream) ?? -Infinity) >= at }

  private _suspect (upstream: Upstream): Suspicion {
    const suspicion = { lost: new Map<string, InterruptedRequest>(), probing: false, forget: this._options.clock.after(lostAnswerTtl, () => this._suspicions.delete(upstream)) }
    this._suspicions.set(upstream, suspicion)
    return suspicion
  }

  private async _probe (upstream: Upstream, suspicion: Suspicion): Promise<void> {
    const outcome = await this._options.probe(upstream)
    suspicion.probing = false
    if (outcome === 'refused') this._confirm(upstream, 'nobody listens')
  }

  private _confirm (upstream: Upstream, evidence: Evidence): void {
    const suspicion = this._suspicions.get(upstream)
    if (suspicion === undefined) return
    this._suspicions.delete(upstream)
    this._terminatedAt.set(upstream, this._options.clock.now())
    suspicion.forget()
    const lost = [...suspicion.lost.values()]
    this._options.log.info('membership', 'upstream terminated.', { upstream: upstream.id, startedAt: upstream.record.startedAt, evidence, lostAnswers: lost.length })
    this._options.terminated(upstream, lost)
  }
}
