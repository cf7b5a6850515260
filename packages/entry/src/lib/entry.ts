/**
 * One entry: receives callers' requests, routes them to upstreams and gives each exactly one answer.
 */
import type { ServerResponse } from 'node:http'
import { adapterKey, callDigest, failure, type Failure, newId, type Ms } from '@hazelford/core'
import { type Config, ConfigState, type Service } from '@hazelford/config'
import { chooseUpstream, RequestQuarantine, RetryBudget, type RouteWeights } from '@hazelford/decisions'
import type { AnswerReceiver, Attempt } from './answer-receiver.js'
import type { Call } from './call-reader.js'
import { CallerResponse } from './caller-response.js'
import { ConfigWatch } from './config-watch.js'
import type { EntryOptions } from './entry-options.js'
import { type RequestOutcome, startRequest } from './request-task.js'
import { UpstreamDirectory } from './upstream-directory.js'

/** Status of an entry for operators. */
export interface EntryStatus {
  readonly role: 'entry'
  readonly name: string
  readonly zone: string
  readonly state: 'starting' | 'serving' | 'leaving'
  readonly revision: number
  readonly incarnation: string
  readonly openRequests: number
  readonly upstreams: readonly { readonly name: string, readonly service: string, readonly zone: string, readonly state: string, readonly load: number }[]
}

const overloadRetryAfter: Ms = 1_000
const leavingRetryAfter: Ms = 100
/** Number of engines that terminate while running one request before it is quarantined, and the duration of the quarantine in ms. */
const quarantineLimits = { after: 3, holdTime: 600_000 }
const drainCheckMs: Ms = 20

/**
 * An entry.
 *
 * @example
 * ```ts
 * const entry = new Entry(options)
 * entry.start()
 * const server = await serveCallers(entry, '127.0.0.1', 0)
 * ```
 */
export class Entry {
  readonly incarnation = newId('inc')
  readonly config: ConfigState
  readonly directory: UpstreamDirectory
  private readonly _watch: ConfigWatch
  private readonly _budgets = new Map<string, RetryBudget>()
  private readonly _quarantine = new RequestQuarantine(quarantineLimits)
  private _open = 0
  private _leaving = false
  private _stopped = false

  constructor (readonly options: EntryOptions) {
    const { kv, clock, log, events } = options
    this.config = new ConfigState(log, events)
    this.directory = new UpstreamDirectory(options, this.incarnation, this.config, (request, upstream, age) => this._recordTermination(request, upstream, age))
    this._watch = new ConfigWatch({ kv, clock, log, state: this.config })
  }

  /** Number of requests without an answer. */
  get openRequests (): number { return this._open }

  /** Whether the load balancer should send callers to this entry. */
  get ready (): boolean { return !this._leaving && this.config.config !== undefined }

  /** Starts to watch the configuration and the host list. */
  start (): void {
    const { events, name, log } = this.options
    events.add('process', { note: `entry ${name} starts` })
    const failed = (cause: Error): void => log.warn('entry', 'watch of the configuration or the host list failed.', { error: cause.message })
    this._watch.run().catch(failed)
    this.directory.run().catch(failed)
  }

  status (): EntryStatus {
    return {
      role: 'entry',
      name: this.options.name,
      zone: this.options.zone,
      state: this._leaving ? 'leaving' : this.ready ? 'serving' : 'starting',
      revision: this.config.revision,
      incarnation: this.incarnation,
      openRequests: this._open,
      upstreams: this.directory.all().map(view => ({
        name: view.name,
        service: view.service,
        zone: view.zone,
        state: view.excluded ? 'barred' : view.state,
        load: view.load
      }))
    }
  }

  /**
   * Shuts down gracefully: stops reporting ready, accepts connections until the load balancer
   * has noticed, and finishes every request.
   *
   * @param limit - ms after which open requests are abandoned
   */
  async shutdown (limit: Ms = 60_000): Promise<void> {
    const { clock, events, balancerNoticeMs } = this.options
    this._leaving = true
    events.add('leaving', { peer: this.options.name })
    const pause = (ms: Ms): Promise<void> => new Promise(resolve => { setTimeout(resolve, ms) })
    await pause(balancerNoticeMs)
    const end = clock.now() + limit
    while (this._open > 0 && clock.now() < end) await pause(drainCheckMs)
    this.stop()
  }

  /** Stops at once; open requests fail, and requests that are still being read are refused. */
  stop (): void {
    this._stopped = true
    this._watch.stop()
    this.directory.close()
  }

  /**
   * Runs a validated call.
   *
   * @param call - call of a caller
   * @param res - the raw response
   */
  run (call: Call, res: ServerResponse): void {
    const { clock, events, meter } = this.options
    const id = newId('req')
    const { config } = this.config
    const refusal = config === undefined ? undefined : this._refusal(call, config)
    if (config === undefined || refusal !== undefined) {
      return this.refuse(res, refusal ?? failure('not-run', 'no-upstream', 'No configuration is known yet.', overloadRetryAfter), id)
    }
    const startedAt = clock.now()
    const deadlineAt = startedAt + call.deadlineMs
    const digest = callDigest(call.method, `${call.service.name} ${call.path}`, call.body)
    const budget = this._budget(call.service, config)
    const adapter = call.adapter === undefined ? undefined : adapterKey(call.adapter)
    budget.firstAttempt()
    this._open++
    events.add('request-taken', { request: id, ...(adapter === undefined ? {} : { adapter }) })
    // Everything the request needs from the configuration is read here, so that the request
    // ends with the revision it began with.
    const revision = this.config.revision
    const weights: RouteWeights = {
      stall: config.policy.stall_weight,
      queue: config.policy.queue_weight,
      batch: config.policy.batch_weight,
      zonePenalty: config.policy.zone_penalty_ms
    }
    startRequest(id, call, deadlineAt, res, {
      clock,
      events,
      takeRetry: () => budget.takeRetry(),
      quarantineFailure: () => this._quarantineFailure(digest),
      mayComeBack: () => this.directory.views(call.service.name).some(view => view.mayComeBack(clock.now())),
      choose: tried => chooseUpstream({
        ...(adapter === undefined ? {} : { adapter }),
        ...(!call.idempotent && call.idempotencyKey !== '' ? { affinityKey: call.idempotencyKey } : {}),
        zone: this.options.zone,
        tried
      }, this.directory.views(call.service.name), weights, clock.now(), Math.random)?.name,
      dispatch: (upstream, receiver) => {
        const view = this.directory.view(upstream)!
        view.recordSent(adapter)
        const channel = this.directory.channel(upstream)
        if (channel === undefined) return this._failUnsent(receiver)
        return channel.send({
          id,
          revision,
          service: call.service.name,
          adapter: call.adapter?.name ?? '',
          version: call.adapter?.version ?? '',
          trafficClass: call.trafficClass,
          idempotent: call.idempotent,
          idempotencyKey: call.idempotencyKey,
          method: call.method,
          path: call.path,
          headers: [...call.headers],
          body: call.body
        }, deadlineAt, {
          head: head => receiver.head(head),
          chunk: data => receiver.chunk(data),
          end: end => {
            view.recordEnd(end.failure !== undefined && end.verdict === 'may-have-run', clock.now())
            receiver.end(end)
          }
        })
      },
      finished: outcome => {
        if (outcome.kind === 'answered') this._quarantine.recordAnswered(digest, clock.now())
        this._finished(id, outcome, startedAt, call)
      }
    })
    meter.count('requests', 1, { service: call.service.name })
  }

  /** Refuses a request with an error, without calling an upstream. */
  refuse (res: ServerResponse, cause: Failure, id = newId('req')): void {
    this.options.meter.count('failures', 1, { code: cause.code })
    new CallerResponse(res, id, () => {}).fail(cause)
  }

  /** Records that an upstream terminated while running a request. Each sidecar reports to all its entries, so each entry counts independently. */
  private _recordTermination (request: string, upstream: string, age: Ms): void {
    const { clock, log } = this.options
    const now = clock.now()
    if (!this._quarantine.recordTermination(request, { upstream, at: now - age }, now) || !this._quarantine.quarantine(request, now)) return
    log.warn('entry', 'request quarantined, engines terminated while running it.', { digest: request, upstreams: this._quarantine.terminatedUpstreams(request) })
  }

  private _quarantineFailure (request: string): Failure | undefined {
    const { holdTime } = quarantineLimits
    if (!this._quarantine.isQuarantined(request, this.options.clock.now())) return undefined
    return failure('not-run', 'quarantined', 'Engines terminated while running this request, so it is quarantined for ten minutes.', holdTime)
  }

  /** Fails an attempt whose channel was lost between the choice of the upstream and the dispatch: the request was not sent. */
  private _failUnsent (receiver: AnswerReceiver): Attempt {
    const cause = failure('not-run', 'no-upstream', 'The channel to the upstream was lost before the request was sent.', overloadRetryAfter)
    setImmediate(() => receiver.end({ verdict: 'not-run', failure: cause }))
    return { withdraw: () => {}, confirm: () => {}, close: () => {} }
  }

  private _finished (id: string, outcome: RequestOutcome, startedAt: Ms, call: Call): void {
    const { clock, events, meter } = this.options
    this._open--
    const note = outcome.kind === 'failed' ? `${outcome.failure.code} ${outcome.failure.verdict}` : outcome.kind
    events.add('request-ended', { request: id, note })
    meter.timing('request', clock.now() - startedAt, { service: call.service.name, outcome: outcome.kind })
    if (outcome.kind === 'failed') meter.count('failures', 1, { code: outcome.failure.code })
  }

  private _refusal (call: Call, config: Config): Failure | undefined {
    if (this._stopped) return failure('not-run', 'leaving', 'This entry shuts down. Send the request again: another entry may accept it.', leavingRetryAfter)
    if (this._open >= this.options.maxOpenRequests) {
      return failure('not-run', 'overloaded', 'This entry has too many open requests. Send the request again later.', overloadRetryAfter)
    }
    const down = this._downDependency(call.service, config)
    if (down === undefined) return undefined
    return failure('not-run', 'dependency-down', `The service "${down}", which "${call.service.name}" depends on, has no upstream that accepts requests.`, overloadRetryAfter)
  }

  /** First direct or indirect dependency that has no upstream accepting requests. */
  private _downDependency (service: Service, config: Config): string | undefined {
    const now = this.options.clock.now()
    for (const name of service.dependsOn) {
      const up = this.directory.views(name).some(view => view.accepts(now))
      if (!up) return name
      const deeper = this._downDependency(config.services.get(name)!, config)
      if (deeper !== undefined) return deeper
    }
    return undefined
  }

  private _budget (service: Service, config: Config): RetryBudget {
    const existing = this._budgets.get(service.name)
    if (existing !== undefined) return existing
    const budget = new RetryBudget(config.policy.retry_share)
    this._budgets.set(service.name, budget)
    return budget
  }
}
