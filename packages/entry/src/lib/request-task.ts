/**
 * Runs one request: carries out the effects that the request flow returns.
 */
import type { ServerResponse } from 'node:http'
import { assertNever, type CancelTimer, type Clock, type EventRing, type Failure, type Ms, Task } from '@hazelford/core'
import { type FlowEffect, type FlowMessage, type FlowRequest, requestFlow } from '@hazelford/decisions'
import type { AnswerReceiver, Attempt } from './answer-receiver.js'
import { CallerResponse } from './caller-response.js'

/** How a request ended, for metrics and logs. */
export type RequestOutcome =
  | { readonly kind: 'answered' }
  | { readonly kind: 'failed', readonly failure: Failure }
  | { readonly kind: 'caller-gone' }

/** Functions of the entry that a request calls. */
export interface RequestDeps {
  readonly clock: Clock
  readonly events: EventRing
  readonly choose: (tried: ReadonlySet<string>) => string | undefined
  readonly mayComeBack: () => boolean
  readonly takeRetry: () => boolean
  /** Failure of a quarantined request; undefined when the request is not quarantined. */
  readonly quarantineFailure: () => Failure | undefined
  readonly dispatch: (upstream: string, receiver: AnswerReceiver) => Attempt
  readonly finished: (outcome: RequestOutcome) => void
}

/** Longest wait for the end frame of a withdrawn request. */
const withdrawTimeoutMs: Ms = 1_000

/** One request, from its arrival to its answer. */
export class RequestTask {
  private readonly _task: Task<FlowMessage, FlowEffect>
  private readonly _response: CallerResponse
  private readonly _timers: CancelTimer[] = []
  private _attempt: Attempt | undefined
  private _attempts = 0
  private _isFinished = false

  constructor (readonly id: string, request: FlowRequest, deadlineAt: Ms, res: ServerResponse, private readonly _deps: RequestDeps) {
    const { clock } = _deps
    this._response = new CallerResponse(res, id, chunks => this._attempt?.confirm(chunks))
    res.on('close', () => {
      if (!res.writableFinished) this._post({ kind: 'caller-gone' })
    })
    this._timers.push(clock.after(deadlineAt - clock.now(), () => this._post({ kind: 'deadline' })))
    this._task = new Task(requestFlow(request, {
      choose: _deps.choose,
      mayComeBack: _deps.mayComeBack,
      takeRetry: _deps.takeRetry,
      quarantineFailure: _deps.quarantineFailure,
      remaining: () => deadlineAt - clock.now(),
      random: Math.random
    }), effect => this._perform(effect))
  }

  private _post (msg: FlowMessage): void {
    if (!this._isFinished) this._task.post(msg)
  }

  private _perform (effect: FlowEffect): void {
    switch (effect.kind) {
      case 'send': return this._send(effect.upstream)
      case 'withdraw': return this._withdraw(effect.reason)
      case 'answer-head': return this._response.head(effect.head)
      case 'answer-chunk': return this._response.chunk(effect.data)
      case 'answer-end':
        this._response.end()
        return this._finish({ kind: 'answered' })
      case 'fail':
        this._response.fail(effect.failure)
        return this._finish({ kind: 'failed', failure: effect.failure })
      case 'break':
        this._response.break(effect.failure)
        return this._finish({ kind: 'failed', failure: effect.failure })
      case 'wait':
        this._timers.push(this._deps.clock.after(effect.delay, () => this._post({ kind: 'waited' })))
        return
      case 'forget': return this._finish({ kind: 'caller-gone' })
      default: return assertNever(effect)
    }
  }

  private _send (upstream: string): void {
    this._attempt?.close()
    this._attempts++
    const attempt = this._attempts
    this._deps.events.add(attempt === 1 ? 'request-sent' : 'request-retried', { request: this.id, upstream })
    // Late messages of an earlier attempt must not be taken for messages of the current one.
    const postIfCurrent = (msg: FlowMessage): void => { if (attempt === this._attempts) this._post(msg) }
    this._attempt = this._deps.dispatch(upstream, {
      head: head => postIfCurrent({ kind: 'head', head }),
      chunk: data => postIfCurrent({ kind: 'chunk', data }),
      end: end => postIfCurrent({ kind: 'end', end })
    })
  }

  private _withdraw (reason: 'deadline' | 'caller-gone'): void {
    this._attempt?.withdraw(reason)
    this._timers.push(this._deps.clock.after(withdrawTimeoutMs, () => this._post({ kind: 'withdraw-timeout' })))
  }

  private _finish (outcome: RequestOutcome): void {
    this._isFinished = true
    for (const cancel of this._timers) cancel()
    this._attempt?.close()
    this._deps.finished(outcome)
  }
}

/**
 * Starts a request, which runs until it is answered.
 *
 * @param id - unique id of the request
 * @param request - properties of the request that determine whether it may be retried
 * @param deadlineAt - deadline on the entry's clock
 * @param res - the raw response
 * @param deps - functions of the entry
 */
export function startRequest (id: string, request: FlowRequest, deadlineAt: Ms, res: ServerResponse, deps: RequestDeps): RequestTask {
  return new RequestTask(id, request, deadlineAt, res, deps)
}
