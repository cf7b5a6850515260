/**
 * Takes requests from entries, puts them through the plan and carries out its effects.
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

/** Parts that only a sidecar beside a model engine has. */
export interface ModelParts {
  readonly slots: AdapterSlots
  readonly permits: LoadPermits
}

/** What the desk works with besides the sidecar's options. */
export interface DispatcherParts {
  readonly limits: PlanLimits
  readonly model?: ModelParts
  readonly createRunner: (events: RunnerEvents) => UpstreamRunner
  /** Something that entries should hear of soon has changed. */
  readonly changed: () => void
}

const refusalTexts: Partial<Record<FailureCode, string>> = {
  'overloaded': 'The upstream has too much to do. Send the request again later.',
  'queue-deadline': 'The deadline passed while the request waited. Send it again later.',
  'withdrawn': 'The request was withdrawn before it ran.',
  'leaving': 'The upstream is leaving. Another one may take the request.',
  'load-failed': 'The adapter could not be loaded. Send the request again later.'
}

const notLoadedLimit = 5

/** The same for each attempt at a request, at whichever sidecar. */
function digestOf ({ method, service, path, body }: Request): string { return callDigest(method, `${service} ${path}`, body) }

/** The requests of one upstream. */
export class RequestDispatcher {
  private readonly _plan: UpstreamPlan
  private readonly _task: Task<PlanMessage, PlanEffect>
  private readonly _runner: UpstreamRunner
  private readonly _runs = new Map<string, RequestRun>()
  private readonly _reloads = new Map<string, number>()
  private readonly _ended = new InterruptedRequests()
  private _permit: HeldPermit | undefined
  private _wantedRank: number | undefined

  constructor (private readonly _options: SidecarOptions, private readonly _parts: DispatcherParts) {
    this._plan = new UpstreamPlan(_parts.limits, _options.random ?? Math.random)
    this._runner = _parts.createRunner({
      finished: (run, ran) => this._finished(run, ran),
      notLoaded: run => this._notLoaded(run),
      endedUnder: run => this._endedUnder(run)
    })
    this._task = new Task(planUpstream(this._plan), effect => this._perform(effect))
  }

  /** Load and slots, for heartbeats. */
  report (): PlanReport { return this._plan.report() }

  /** Requests under which the upstream ended, for heartbeats. */
  endedUnder (): readonly InterruptedRequest[] { return this._ended.list(this._now()) }

  /** Whether no request is queued or running. */
  get idle (): boolean { return this._runs.size === 0 }

  /** Requests queued or running. */
  get size (): number { return this._runs.size }

  setLimits (limits: PlanLimits): void { this._post({ kind: 'limits', at: this._now(), limits }) }

  /** Refuses what waits and whatever comes. */
  leave (): void { this._post({ kind: 'leave', at: this._now() }) }

  /** Takes work again after a drain. */
  resumeAccepting (): void { this._post({ kind: 'return', at: this._now() }) }

  /** Takes the engine's own word on what is loaded. */
  slotsListed (loaded: readonly string[]): void {
    this._post({ kind: 'slots-listed', at: this._now(), loaded })
  }

  /** Takes a request frame. */
  receiveRequest (session: EntrySession, request: Request, refusal?: Failure): void {
    const verdict = session.ledger.register(request.seq)
    if (verdict === 'duplicate' && session.runs.has(request.seq)) return
    const run = new RequestRun(`${session.incarnation}.${request.seq}`, request, session)
    switch (verdict) {
      case 'duplicate':
        // The frame was taken before and its request is over. Nobody here remembers how.
        return run.end(failure('may-have-run', 'duplicate-frame', 'The request frame came twice.'))
      case 'withdrawn':
        return run.end(failure('not-run', 'withdrawn', refusalTexts.withdrawn!))
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

  /** Takes a withdraw frame. */
  withdraw (session: EntrySession, frame: Withdraw): void {
    const run = session.runs.get(frame.seq)
    if (run === undefined) {
      session.ledger.recordWithdrawal(frame.seq)
      return
    }
    this._giveUp(run)
  }

  /** Drops what an entry no longer names after it reconnected. */
  reconcile (session: EntrySession, hello: Hello): readonly number[] {
    const named = new Map(hello.open.map(open => [open.seq, open.received]))
    for (const [seq, run] of session.runs) {
      if (named.has(seq)) continue
      session.runs.delete(seq)
      this._giveUp(run)
    }
    return [...session.runs.keys()]
  }

  /** An entry did not come back: nobody will read these answers. */
  abandon (session: EntrySession): void {
    for (const run of session.runs.values()) this._giveUp(run)
    session.runs.clear()
  }

  /** Stops a request that may stop; a call that must not run twice goes on to its end. */
  private _giveUp (run: RequestRun): void {
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
        // A booking under way can't be called back. Its place stays taken and its
        // outcome is kept under its key; only the wait for it ends here.
        run.handle?.resume()
        run.end(failure('may-have-run', 'withdrawn', 'The call was under way when it was withdrawn.'))
        return
      }
      case 'ended': return
      default: return assertNever(run.state)
    }
  }

  /** The request keeps its place and its pin until the upstream has stopped. */
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
      case 'want-permit': return this._wantPermit(effect.rank)
      case 'return-permit': return this._returnPermit()
      case 'load': return this._load(effect.adapter)
      case 'unload': return this._unload(effect.adapter)
      case 'list-slots': return this._list()
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
    run.end(failure('not-run', code, refusalTexts[code] ?? code, retryAfter))
    this._runs.delete(id)
  }

  private _finished (run: RequestRun, ran: boolean): void {
    if (!this._runs.delete(run.id)) return
    this._reloads.delete(run.id)
    if (run.isComplete) this._ended.answered(() => digestOf(run.request))
    this._options.events.add('request-ended', { request: run.request.id, upstream: this._options.upstream })
    this._post({ kind: 'finished', at: this._now(), id: run.id, ran })
  }

  private _endedUnder ({ request }: RequestRun): void {
    const { log, upstream } = this._options
    const digest = digestOf(request)
    log.warn('sidecar', 'upstream ended under a request.', { upstream, request: request.id, digest })
    this._ended.note(digest, this._now())
    this._parts.changed()
  }

  private _notLoaded (run: RequestRun): void {
    const reloads = (this._reloads.get(run.id) ?? 0) + 1
    if (reloads > notLoadedLimit) {
      run.end(failure('not-run', 'load-failed', refusalTexts['load-failed']!, 1_000))
      return this._finished(run, false)
    }
    this._reloads.set(run.id, reloads)
    run.state = 'queued'
    this._post({ kind: 'not-loaded', at: this._now(), id: run.id })
  }

  private _wantPermit (rank: number): void {
    const alreadyAsking = this._wantedRank !== undefined
    this._wantedRank = rank
    if (alreadyAsking) return
    this._parts.model?.permits.acquire(() => this._wantedRank ?? rank).then(permit => {
      this._wantedRank = undefined
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

  private _list (): void {
    const retryMs = 500
    this._parts.model?.slots.list().then(loaded => {
      if (loaded !== undefined) return this.slotsListed(loaded)
      this._options.clock.after(retryMs, () => this._list())
    }, () => {})
  }
}
