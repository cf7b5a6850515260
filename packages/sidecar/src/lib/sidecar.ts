/**
 * One sidecar: the only way to its upstream.
 */
import { type ConfigDocument, failure, type Failure, newId, type Ms } from '@hazelford/core'
import { type Config, ConfigState, type Upstream } from '@hazelford/config'
import { type PlanLimits, type PlanReport } from '@hazelford/decisions'
import { type EntryFrame, type Hello, type Request, toWireDocument } from '@hazelford/wire'
import { type ChannelServer, type Connection, type ConnectionHandler, defaultHeartbeatMs, startChannelServer } from './channel-server.js'
import { Claims } from './claims.js'
import { AdapterSlots } from './adapter-slots.js'
import { EntrySession } from './entry-session.js'
import { Fence } from './fence.js'
import { LoadPermits, type PermitLimits } from './load-permits.js'
import { type ModelParts, RequestDispatcher } from './request-dispatcher.js'
import { HeartbeatReporter } from './heartbeat-reporter.js'
import type { SidecarOptions } from './sidecar-options.js'
import { createModelRunner, createPlainRunner, type RunnerEvents, type UpstreamRunner } from './upstream-runner.js'

/** Whether the sidecar takes new work. */
export type SidecarState = 'cold' | 'serving' | 'leaving'

/** What operators see of a sidecar. */
export interface SidecarStatus {
  readonly role: 'sidecar'
  readonly name: string
  readonly zone: string
  readonly upstream: string
  readonly state: SidecarState
  readonly revision: number
  readonly incarnation: string
  readonly fencingNumber: number
  readonly entries: readonly string[]
  readonly report: PlanReport
}

const unsetLimits: PlanLimits = { slots: 1, places: 1, queueLimit: 256, draftLinger: 0 }
const unsetPermits: PermitLimits = { atOnce: 1, perSecond: 4, sharers: 1 }
/** How long an entry may be gone before its idempotent requests are stopped. */
const sessionGraceMs: Ms = 5_000
/** How long a ledger is kept after its entry went. */
const sessionKeepMs: Ms = 10 * 60_000
const leaveNoticeMs: Ms = 50
const listIntervalMs: Ms = 1_000

/**
 * A sidecar.
 *
 * @example
 * ```ts
 * const sidecar = new Sidecar(options)
 * const port = await sidecar.listen('127.0.0.1', 0)
 * // ... entries connect ...
 * await sidecar.shutdown()
 * ```
 */
export class Sidecar {
  readonly incarnation = newId('inc')
  readonly config: ConfigState
  private readonly _sessions = new Map<string, EntrySession>()
  private readonly _connections = new Map<Connection, EntrySession>()
  private readonly _fence: Fence
  private readonly _desk: RequestDispatcher
  private readonly _reporter: HeartbeatReporter
  private readonly _slots: AdapterSlots | undefined
  private _server: ChannelServer | undefined
  private _state: SidecarState = 'cold'
  /** Whether everything that serving needs is there. */
  private _warm = false
  private _shuttingDown = false
  private _stopped = false
  private _lastTick: Ms

  constructor (private readonly _options: SidecarOptions) {
    const { kv, clock, log, events, upstream, name, leaseMs } = _options
    this.config = new ConfigState(log, events)
    this._lastTick = clock.now()
    this._fence = new Fence({ kv, clock, log, events, upstream, sidecar: name, leaseMs })
    const model = this._createModelParts()
    this._slots = model?.slots
    this._reporter = new HeartbeatReporter(clock, {
      state: () => this._state,
      revision: () => this.config.revision,
      report: () => this._desk.report(),
      ended: () => this._desk.endedUnder(),
      connections: () => this._connections.keys()
    })
    this._desk = new RequestDispatcher(_options, {
      limits: unsetLimits,
      ...(model === undefined ? {} : { model }),
      createRunner: runnerEvents => this._createRunner(runnerEvents, model),
      changed: () => this._reporter.sendSoon()
    })
    this.config.onChange(config => this._configChanged(config))
  }

  get state (): SidecarState { return this._state }

  /** Requests queued or running. */
  get openRequests (): number { return this._desk.size }

  /**
   * Begins to serve.
   *
   * @param host - address to listen on
   * @param port - 0 lets the kernel choose
   * @returns the bound port
   */
  async listen (host: string, port: number): Promise<number> {
    const { clock, hlc, events } = this._options
    this._server = await startChannelServer({ host, port, clock, hlc, accept: connection => this._accept(connection) })
    events.add('process', { note: `sidecar ${this._options.name} listens`, upstream: this._options.upstream })
    this._beat()
    if (this._options.client.kind === 'plain') this._warmUp()
    else this._startModel()
    return this._server.port
  }

  status (): SidecarStatus {
    return {
      role: 'sidecar',
      name: this._options.name,
      zone: this._options.zone,
      upstream: this._options.upstream,
      state: this._state,
      revision: this.config.revision,
      incarnation: this.incarnation,
      fencingNumber: this._fence.number,
      entries: [...this._connections.values()].map(session => session.entry),
      report: this._desk.report()
    }
  }

  /**
   * Leaves: tells entries, refuses new work, finishes what runs.
   *
   * @param limit - ms after which requests still running are given up
   * @returns once nothing runs or the limit has passed
   */
  async shutdown (limit: Ms = 60_000): Promise<void> {
    const { clock, events, upstream } = this._options
    this._shuttingDown = true
    events.add('leaving', { upstream })
    this._updateState()
    const end = clock.now() + limit
    while (!this._isQuiet() && clock.now() < end) await this._pause(leaveNoticeMs)
    await this._pause(leaveNoticeMs)
    this.stop()
  }

  /** Stops at once. Open requests are lost; for tests of crashes use this. */
  stop (): void {
    this._stopped = true
    this._server?.close()
  }

  /** Cuts the channels; entries reconnect. For tests. */
  cutChannels (): void { this._server?.cutAll() }

  /** Nothing runs, and every connected entry has confirmed all its answers. */
  private _isQuiet (): boolean {
    if (!this._desk.idle) return false
    return [...this._connections.values()].every(session => session.runs.size === 0)
  }

  private _pause (ms: Ms): Promise<void> {
    return new Promise(resolve => { setTimeout(resolve, ms) })
  }

  private _createModelParts (): ModelParts | undefined {
    const { client, clock, log, events, upstream, kv, name } = this._options
    if (client.kind !== 'model') return undefined
    const checksFencing = (): boolean => this._upstream()?.fencing === 'checked'
    const slots = new AdapterSlots({ engine: client.engine, fence: this._fence, clock, log, events, upstream, checksFencing })
    const permits = new LoadPermits({ kv, clock, log, sidecar: name, limits: () => this._permitLimits() })
    return { slots, permits }
  }

  private _createRunner (runnerEvents: RunnerEvents, model: ModelParts | undefined): UpstreamRunner {
    const { client, kv, clock, log, events, name, upstream } = this._options
    if (client.kind === 'model') return createModelRunner(client.engine, model!.slots, runnerEvents)
    const service = (): string => this._upstream()?.service ?? upstream
    const claims = new Claims({ kv, clock, log, events, get service () { return service() }, sidecar: name, incarnation: this.incarnation, stopped: () => this._stopped })
    return createPlainRunner(client.plain, claims, runnerEvents, events)
  }

  private _upstream (): Upstream | undefined {
    return this.config.config?.upstreams.get(this._options.upstream)
  }

  private _permitLimits (): PermitLimits {
    const { config } = this.config
    if (config === undefined) return unsetPermits
    const models = [...config.upstreams.values()].filter(upstream => config.services.get(upstream.service)?.kind === 'model')
    return { atOnce: config.policy.loads_at_once, perSecond: config.policy.loads_per_second, sharers: models.length }
  }

  private _configChanged (config: Config): void {
    const upstream = this._upstream()
    const service = upstream === undefined ? undefined : config.services.get(upstream.service)
    if (upstream !== undefined && service !== undefined) {
      this._desk.setLimits({
        slots: upstream.slots,
        places: upstream.places,
        queueLimit: service.queueLimit,
        draftLinger: config.policy.draft_linger_ms
      })
    }
    this._updateState()
    const doc = toWireDocument(this.config.document!)
    for (const connection of this._connections.keys()) connection.send({ body: { $case: 'config', value: doc } })
  }

  /**
   * A model engine: take a number, then serve. Until then no adapter can be loaded, and
   * taking requests would only keep them from upstreams that can answer.
   */
  private _startModel (): void {
    this._fence.acquire(() => this._stopped).then(() => {
      this._warmUp()
      this._watchEngine()
    }, () => {})
  }

  private _warmUp (): void {
    this._warm = true
    this._updateState()
  }

  /** Lists the engine now and then: a restarted engine has lost everything. */
  private _watchEngine (): void {
    if (this._stopped) return
    this._slots!.list().then(loaded => {
      if (loaded !== undefined) this._desk.slotsListed(loaded)
      this._options.clock.after(listIntervalMs, () => this._watchEngine())
    }, () => {})
  }

  private _updateState (): void {
    const drained = this._upstream()?.drained === true
    const next: SidecarState = this._shuttingDown || drained || this._fence.superseded
      ? 'leaving'
      : this._warm && this._upstream() !== undefined ? 'serving' : 'cold'
    if (next === this._state) return
    this._state = next
    this._options.log.info('sidecar', 'state changed.', { state: next })
    this._options.events.add('drain', { upstream: this._options.upstream, note: next })
    if (next === 'leaving') this._desk.leave()
    else this._desk.resumeAccepting()
    this._reporter.send()
  }

  private _accept (connection: Connection): ConnectionHandler {
    let session: EntrySession | undefined
    return {
      frame: frame => {
        if (session !== undefined) return this._frame(session, connection, frame)
        if (frame.body?.$case === 'hello') session = this._hello(connection, frame.body.value)
      },
      closed: () => {
        this._connections.delete(connection)
        this._reporter.forget(connection)
        if (session !== undefined) this._lost(session, connection)
      }
    }
  }

  private _hello (connection: Connection, hello: Hello): EntrySession {
    const known = this._sessions.get(hello.incarnation)
    const session = known ?? new EntrySession(hello.entry, hello.incarnation)
    this._sessions.set(hello.incarnation, session)
    this._connections.set(connection, session)
    session.attach(connection)
    const open = this._desk.reconcile(session, hello)
    this._options.events.add('channel-open', { peer: hello.entry, upstream: this._options.upstream })
    connection.send({
      body: {
        $case: 'welcome',
        value: {
          sidecar: this._options.name,
          incarnation: this.incarnation,
          upstream: this._options.upstream,
          revision: this.config.revision,
          highestSeq: session.ledger.highest,
          open: [...open],
          report: this._reporter.heartbeat(),
          resumed: known !== undefined
        }
      }
    })
    for (const { seq, received } of hello.open) session.runs.get(seq)?.replay(received)
    this._offerConfig(connection, hello.revision)
    return session
  }

  private _lost (session: EntrySession, connection: Connection): void {
    const { clock, events, upstream } = this._options
    if (!session.detach(connection)) return
    events.add('channel-lost', { peer: session.entry, upstream })
    clock.after(sessionGraceMs, () => {
      if (!session.connected) this._desk.abandon(session)
    })
    clock.after(sessionKeepMs, () => {
      if (!session.connected) this._sessions.delete(session.incarnation)
    })
  }

  private _frame (session: EntrySession, connection: Connection, frame: EntryFrame): void {
    const { body } = frame
    switch (body?.$case) {
      case 'request': return this._desk.receiveRequest(session, body.value, this._refusal(body.value))
      case 'withdraw': return this._desk.withdraw(session, body.value)
      case 'ack': {
        const run = session.runs.get(body.value.seq)
        if (body.value.done) session.runs.delete(body.value.seq)
        else run?.confirm(body.value.received)
        return
      }
      case 'heartbeat': return this._offerConfig(connection, body.value.revision)
      case 'config':
        this.config.offer(body.value as ConfigDocument, session.entry)
        break
      case 'hello':
      case undefined:
    }
  }

  /** What this sidecar refuses before the plan sees it. */
  private _refusal (request: Request): Failure | undefined {
    if (this._state === 'serving') return undefined
    const code = this._state === 'leaving' ? 'leaving' : 'cold'
    return failure('not-run', code, `The upstream is ${this._state}. Another one may take the request.`, request.idempotent ? 100 : 500)
  }

  /** Hands a newer configuration to a peer that lags. */
  private _offerConfig (connection: Connection, revision: number): void {
    const { document } = this.config
    if (document === undefined || revision >= document.revision) return
    connection.send({ body: { $case: 'config', value: toWireDocument(document) } })
  }

  private _beat (): void {
    if (this._stopped) return
    this._noticePause()
    this._updateState()
    this._reporter.send()
    this._options.clock.after(this._options.heartbeatMs ?? defaultHeartbeatMs, () => this._beat())
  }

  /** A gap between two beats far over the interval means that the process was paused. */
  private _noticePause (): void {
    const { clock, events, leaseMs, log } = this._options
    const now = clock.now()
    if (now - this._lastTick > leaseMs) {
      log.warn('sidecar', 'process was paused.', { ms: Math.round(now - this._lastTick) })
      events.add('process', { note: `paused ${Math.round(now - this._lastTick)} ms` })
    }
    this._lastTick = now
  }
}
