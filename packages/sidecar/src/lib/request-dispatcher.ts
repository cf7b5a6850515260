/**
 * Receives requests from entries, passes them to the upstream plan and carries out the effects that it returns.
 */
import { adapterKey, assertNever, callDigest, failure, type Failure, type FailureCode, type Ms, parseTrafficClass, Task } from '@hazelford/core'
import { type PlanEffect, type PlanLimits, type PlanMessage, type PlanReport, planUpstream, UpstreamPlan } from '@hazelford/decisions'
import type { Hello, Request, Withdraw } from '@hazelford/wire'
import { type InterruptedRequest, InterruptedRequests } from './interrupted-requests.js'
import type { AdapterSlots } from './adapter-slots.js'
import type { EntrySession } from './entry-session.js'
import type { HeldPermit, LoadPermits } from './load-permits.js'
import { RequestRun } from './request-run.js'
import type { SidecarOptions } from './sidecar-options.js'
import type { RunnerEvents, UpstreamRunner } from './upstream-runner.js'

/** Components that only the sidecar of a model engine has. */
export interface ModelParts {
  readonly slots: AdapterSlots
  readonly permits: LoadPermits
}

/** Dependencies of the dispatcher besides the sidecar's options. */
export interface DispatcherParts {
  readonly limits: PlanLimits
  readonly model?: ModelParts
  readonly createRunner: (events: RunnerEvents) => UpstreamRunner
  /** Called on a change that entries should receive before the next regular heartbeat. */
  readonly changed: () => void
}

const refusalMessages: Partial<Record<FailureCode, string>> = {
  'overloaded': 'The upstream is overloaded. Send the request again later.',
  'queue-deadline': 'The deadline passed while the request waited. Send it again later.',
  'withdrawn': 'The request was withdrawn before it ran.',
  'leaving': 'The upstream is leaving. Another upstream may accept the request.',
  'load-failed': 'The adapter could not be loaded. Send the request again later.'
}

/** Times that a request returns to the queue since the engine no longer has its adapter; after that the request fails. */
const maxReloads = 5

/** Digest of a request; the same for each attempt, at every sidecar. */
function requestDigest ({ method, service, path, body }: Request): string { return callDigest(method, `${service} ${path}`, body) }

/** Dispatches the requests of one upstream. */
export class RequestDispatcher {
  private readonly _plan: UpstreamPlan
  private readonly _task: Task<PlanMessage, PlanEffect>
  private readonly _runner: UpstreamRunner
  private readonly _runs = new Map<string, RequestRun>()
  private readonly _reloads = new Map<string, number>()
  private readonly _interrupted = new InterruptedRequests()
  private _permit: HeldPermit | undefined
  /** Priority of the load that waits for a permit; undefined when none waits. */
  private _requestedRank: number | undefined

  constructor (private readonly _options: SidecarOptions, private readonly _parts: DispatcherParts) {
    this._plan = new UpstreamPlan(_parts.limits, _options.random ?? Math.random)
    this._runner = _parts.createRunner({
      finished: (run, ran) => this._finished(run, ran),
      notLoaded: run => this._notLoaded(run),
      interrupted: run => this._recordInterrupted(run)
    })
    this._task = new Task(planUpstream(this._plan), effect => this._perform(effect))
  }

  /** Load and adapter slots, for heartbeats. */
  report (): PlanReport { return this._plan.report() }

  /** Requests that the upstream was running when it terminated, for heartbeats. */
  interruptedRequests (): readonly InterruptedRequest[] { return this._interrupted.list(this._now()) }

  /** Whether no request is queued or running. */
  get idle (): boolean { return this._runs.size === 0 }

  /** Number of requests queued or running. */
  get size (): number { return this._runs.size }

  setLimits (limits: PlanLimits): void { this._post({ kind: 'limits', at: this._now(), limits }) }

  /** Refuses the queued requests and all that arrive from now on. */
  leave (): void { this._post({ kind: 'leave', at: this._now() }) }

  /** Accepts requests again after a drain. */
  resumeAccepting (): void { this._post({ kind: 'return', at: this._now() }) }

  /** Applies the engine's listing of loaded adapters. */
  slotsListed (loaded: readonly string[]): void {
    this._post({ kind: 'slots-listed', at: this._now(), loaded })
  }

  /** Handles a request frame. */
  receiveRequest (session: EntrySession, request: Request, refusal?: Failure): void {
    const verdict = session.ledger.register(request.seq)
    if (verdict === 'duplicate' && session.runs.has(request.seq)) return
    const run = new RequestRun(`${session.incarnation}.${request.seq}`, request, session)
    switch (verdict) {
      case 'duplicate':
        // The frame was received before and its request has ended; this sidecar no longer has its outcome.
        return run.end(failure('may-have-run', 'duplicate-frame', 'The request frame was received twice.'))
      case 'withdrawn':
        return run.end(failure('not-run', 'withdrawn', refusalMessages.withdrawn!))
      case 'new':
        break
      default: return assertNever(verdict)
    }
    session.runs.set(request.seq, run)
    if (refusal !== undefined) return run.end(refusal)
    this._runs.set(run.id, run)
    this._options.events.add('request-queued', { request: request.id, upstream: this._options.upstream })
    const at = this._now()
    this._post({
      kind: 'arrive',
      at,
      request: {
        id: run.id,
        ...(request.adapter === '' ? {} : { adapter: adapterKey({ name: request.adapter, version: request.version }) }),
        trafficClass: parseTrafficClass(request.trafficClass) ?? 'interactive',
        arrivedAt: at,
        deadlineAt: at + request.deadlineMs
      }
    })
  }

  /** Handles a withdraw frame. */
  withdraw (session: EntrySession, frame: Withdraw): void {
    const run = session.runs.get(frame.seq)
    if (run === undefined) {
      session.ledger.recordWithdrawal(frame.seq)
      return
    }
    this._stopRequest(run)
  }

  /**
   * Stops the requests that an entry no longer lists after a reconnect.
   *
   * @returns sequence numbers of the requests that are still open at this sidecar
   */
  reconcile (session: EntrySession, hello: Hello): readonly number[] {
    const listed = new Map(hello.open.map(open => [open.seq, open.received]))
    for (const [seq, run] of session.runs) {
      if (listed.has(seq)) continue
      session.runs.delete(seq)
      this._stopRequest(run)
    }
    return [...session.runs.keys()]
  }

  /** Stops all requests of an entry that did not reconnect, since their answers can no longer be delivered. */
  abandon (session: EntrySession): void {
    for (const run of session.runs.values()) this._stopRequest(run)
    session.runs.clear()
  }

  /** Stops a request if it may be stopped; a running call that must not run twice continues to its end. */
  private _stopRequest (run: RequestRun): void {
    const { request } = run
    switch (run.state) {
      case 'queued':
        this._post({ kind: 'withdraw', at: this._now(), id: run.id })
        return
      case 'claiming':
        run.isWithdrawn = true
        return
      case 'running': {
        this._options.events.add('request-withdrawn', { request: request.id, upstream: this._options.upstream })
        if (request.idempotent) {
          run.end(failure('may-have-run', 'withdrawn', 'The request was stopped while it ran.'))
          this._cancel(run)
          return
        }
        // A running call that is not idempotent can't be undone. It keeps its batch slot until it
        // ends and its outcome is stored under its key; only the wait for its answer ends here.
        run.handle?.resume()
        run.end(failure('may-have-run', 'withdrawn', 'The call was running when it was withdrawn.'))
        return
      }
      case 'ended': return
      default: return assertNever(run.state)
    }
  }

  /** Cancels a running request, which keeps its batch slot and its pin until the upstream has stopped it. */
  private _cancel (run: RequestRun): void {
    const { handle } = run
    if (handle === undefined) return this._finished(run, false)
    handle.cancel().then(() => this._finished(run, false), () => this._finished(run, false))
  }

  private _now (): Ms { return this._options.clock.now() }

  private _post (msg: PlanMessage): void { this._task.post(msg) }

  private _perform (effect: PlanEffect): void {
    switch (effect.kind) {
      case 'start': return this._start(effect.id)
      case 'refuse': return this._refuse(effect.id, effect.code, effect.retryAfter)
      case 'want-permit': return this._acquirePermit(effect.rank)
      case 'return-permit': return this._returnPermit()
      case 'load': return this._load(effect.adapter)
      case 'unload': return this._unload(effect.adapter)
      case 'list-slots': return this._listAdapters()
      case 'wake':
        this._options.clock.after(effect.after, () => this._post({ kind: 'tick', at: this._now() }))
        return
      default: return assertNever(effect)
    }
  }

  private _start (id: string): void {
    const run = this._runs.get(id)!
    this._options.events.add('request-started', { request: run.request.id, upstream: this._options.upstream })
    this._runner.start(run)
  }

  private _refuse (id: string, code: FailureCode, retryAfter: Ms): void {
    const run = this._runs.get(id)
    if (run === undefined) return
    this._options.meter.count('refused', 1, { code })
    run.end(failure('not-run', code, refusalMessages[code] ?? code, retryAfter))
    this._runs.delete(id)
  }

  private _finished (run: RequestRun, ran: boolean): void {
    if (!this._runs.delete(run.id)) return
    this._reloads.delete(run.id)
    if (run.isComplete) this._interrupted.removeAnswered(() => requestDigest(run.request))
    this._options.events.add('request-ended', { request: run.request.id, upstream: this._options.upstream })
    this._post({ kind: 'finished', at: this._now(), id: run.id, ran })
  }

  private _recordInterrupted ({ request }: RequestRun): void {
    const { log, upstream } = this._options
    const digest = requestDigest(request)
    log.warn('sidecar', 'upstream terminated while running a request.', { upstream, request: request.id, digest })
    this._interrupted.record(digest, this._now())
    this._parts.changed()
  }

  private _notLoaded (run: RequestRun): void {
    const reloads = (this._reloads.get(run.id) ?? 0) + 1
    if (reloads > maxReloads) {
      run.end(failure('not-run', 'load-failed', refusalMessages['load-failed']!, 1_000))
      return this._finished(run, false)
    }
    this._reloads.set(run.id, reloads)
    run.state = 'queued'
    this._post({ kind: 'not-loaded', at: this._now(), id: run.id })
  }

  private _acquirePermit (rank: number): void {
    const isAcquiring = this._requestedRank !== undefined
    this._requestedRank = rank
    if (isAcquiring) return
    this._parts.model?.permits.acquire(() => this._requestedRank ?? rank).then(permit => {
      this._requestedRank = undefined
      this._permit = permit
      this._post({ kind: 'permit', at: this._now() })
    }, () => {})
  }

  private _returnPermit (): void {
    this._permit?.giveBack()
    this._permit = undefined
  }

  private _load (adapter: string): void {
    const permit = this._permit
    this._permit = undefined
    this._parts.model?.slots.load(adapter).then(({ loaded, took }) => {
      permit?.giveBack(took, loaded)
      this._options.meter.timing('load', took, { outcome: loaded ? 'loaded' : 'failed' })
      this._post({ kind: 'load-ended', at: this._now(), adapter, loaded, took })
      this._parts.changed()
    }, () => {})
  }

  private _unload (adapter: string): void {
    this._parts.model?.slots.unload(adapter).then(outcome => {
      this._post({ kind: 'unload-ended', at: this._now(), adapter, outcome })
    }, () => {})
  }

  private _listAdapters (): void {
    const retryMs = 500
    this._parts.model?.slots.list().then(loaded => {
      if (loaded !== undefined) return this.slotsListed(loaded)
      this._options.clock.after(retryMs, () => this._listAdapters())
    }, () => {})
  }
}
