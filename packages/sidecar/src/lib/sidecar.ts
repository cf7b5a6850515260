/**
 * One sidecar, through which all requests to its upstream pass.
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

/** Whether the sidecar accepts new requests. */
export type SidecarState = 'cold' | 'serving' | 'leaving'

/** Status of a sidecar for operators. */
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

/** In force until the first configuration arrives. */
const initialLimits: PlanLimits = { slots: 1, places: 1, queueLimit: 256, draftLinger: 0 }
/** In force until the first configuration arrives. */
const initialPermitLimits: PermitLimits = { atOnce: 1, perSecond: 4, sharers: 1 }
/** How long an entry may be disconnected before its idempotent requests are stopped. */
const sessionGraceMs: Ms = 5_000
/** How long a request ledger is kept after its entry disconnected. */
const sessionKeepMs: Ms = 10 * 60_000
const shutdownPollMs: Ms = 50
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
  private readonly _dispatcher: RequestDispatcher
  private readonly _reporter: HeartbeatReporter
  private readonly _slots: AdapterSlots | undefined
  private _server: ChannelServer | undefined
  private _state: SidecarState = 'cold'
  /** Whether the sidecar can serve: it has a fencing number, or its upstream is a plain service, which needs none. */
  private _isReady = false
  private _shuttingDown = false
  private _stopped = false
  private _lastHeartbeatAt: Ms

  constructor (private readonly _options: SidecarOptions) {
    const { kv, clock, log, events, upstream, name, leaseMs } = _options
    this.config = new ConfigState(log, events)
    this._lastHeartbeatAt = clock.now()
    this._fence = new Fence({ kv, clock, log, events, upstream, sidecar: name, leaseMs })
    const model = this._createModelParts()
    this._slots = model?.slots
    this._reporter = new HeartbeatReporter(clock, {
      state: () => this._state,
      revision: () => this.config.revision,
      report: () => this._dispatcher.report(),
      interrupted: () => this._dispatcher.interruptedRequests(),
      connections: () => this._connections.keys()
    })
    this._dispatcher = new RequestDispatcher(_options, {
      limits: initialLimits,
      ...(model === undefined ? {} : { model }),
      createRunner: runnerEvents => this._createRunner(runnerEvents, model),
      changed: () => this._reporter.sendSoon()
    })
    this.config.onChange(config => this._configChanged(config))
  }

  get state (): SidecarState { return this._state }

  /** Number of requests queued or running. */
  get openRequests (): number { return this._dispatcher.size }

  /**
   * Starts to listen for entries.
   *
   * @param host - address to listen on
   * @param port - port to listen on; 0 lets the kernel choose one
   * @returns the bound port
   */
  async listen (host: string, port: number): Promise<number> {
    const { clock, hlc, events } = this._options
    this._server = await startChannelServer({ host, port, clock, hlc, accept: connection => this._accept(connection) })
    events.add('process', { note: `sidecar ${this._options.name} listens`, upstream: this._options.upstream })
    this._heartbeat()
    if (this._options.client.kind === 'plain') this._markReady()
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
      report: this._dispatcher.report()
    }
  }

  /**
   * Shuts down gracefully: notifies entries, refuses new requests, finishes the running ones.
   *
   * @param limit - ms after which requests still running are abandoned
   * @returns resolves when no request is running or the limit has passed
   */
  async shutdown (limit: Ms = 60_000): Promise<void> {
    const { clock, events, upstream } = this._options
    this._shuttingDown = true
    events.add('leaving', { upstream })
    this._updateState()
    const end = clock.now() + limit
    while (!this._isQuiet() && clock.now() < end) await this._pause(shutdownPollMs)
    await this._pause(shutdownPollMs)
    this.stop()
  }

  /** Stops at once; open requests are lost. Tests use it to simulate a crash. */
  stop (): void {
    this._stopped = true
    this._server?.close()
  }

  /** Breaks all channels; entries reconnect. For tests. */
  cutChannels (): void { this._server?.cutAll() }

  /**
   * Whether no request is queued or running and each entry has acknowledged all answers to it. An entry without a connection
   * may be connecting again; its answers are discarded after {@link sessionGraceMs}.
   */
  private _isQuiet (): boolean {
    if (!this._dispatcher.idle) return false
    return [...this._sessions.values()].every(session => session.runs.size === 0)
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
    if (config === undefined) return initialPermitLimits
    const models = [...config.upstreams.values()].filter(upstream => config.services.get(upstream.service)?.kind === 'model')
    return { atOnce: config.policy.loads_at_once, perSecond: config.policy.loads_per_second, sharers: models.length }
  }

  private _configChanged (config: Config): void {
    const upstream = this._upstream()
    const service = upstream === undefined ? undefined : config.services.get(upstream.service)
    if (upstream !== undefined && service !== undefined) {
      this._dispatcher.setLimits({
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
   * Starts a sidecar of a model engine: acquires a fencing number, then serves. Without the
   * number no adapter can be loaded, and a request accepted here would wait instead of
   * going to an upstream that can answer it.
   */
  private _startModel (): void {
    this._fence.acquire(() => this._stopped).then(() => {
      this._markReady()
      this._watchEngine()
    }, () => {})
  }

  private _markReady (): void {
    this._isReady = true
    this._updateState()
  }

  /** Lists the engine's adapters every second, since a restarted engine has lost all of them. */
  private _watchEngine (): void {
    if (this._stopped) return
    this._slots!.list().then(loaded => {
      if (loaded !== undefined) this._dispatcher.slotsListed(loaded)
      this._options.clock.after(listIntervalMs, () => this._watchEngine())
    }, () => {})
  }

  private _updateState (): void {
    const drained = this._upstream()?.drained === true
    const next: SidecarState = this._shuttingDown || drained || this._fence.superseded
      ? 'leaving'
      : this._isReady && this._upstream() !== undefined ? 'serving' : 'cold'
    if (next === this._state) return
    this._state = next
    this._options.log.info('sidecar', 'state changed.', { state: next })
    this._options.events.add('drain', { upstream: this._options.upstream, note: next })
    if (next === 'leaving') this._dispatcher.leave()
    else this._dispatcher.resumeAccepting()
    this._reporter.send()
  }

  private _accept (connection: Connection): ConnectionHandler {
    let session: EntrySession | undefined
    return {
      frame: frame => {
        if (session !== undefined) return this._handleFrame(session, connection, frame)
        if (frame.body?.$case === 'hello') session = this._handleHello(connection, frame.body.value)
      },
      closed: () => {
        this._connections.delete(connection)
        this._reporter.forget(connection)
        if (session !== undefined) this._connectionLost(session, connection)
      }
    }
  }

  private _handleHello (connection: Connection, hello: Hello): EntrySession {
    const existing = this._sessions.get(hello.incarnation)
    const session = existing ?? new EntrySession(hello.entry, hello.incarnation)
    this._sessions.set(hello.incarnation, session)
    this._connections.set(connection, session)
    session.attach(connection)
    const open = this._dispatcher.reconcile(session, hello)
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
          resumed: existing !== undefined
        }
      }
    })
    for (const { seq, received } of hello.open) session.runs.get(seq)?.replay(received)
    this._sendConfigIfNewer(connection, hello.revision)
    return session
  }

  private _connectionLost (session: EntrySession, connection: Connection): void {
    const { clock, events, upstream } = this._options
    if (!session.detach(connection)) return
    events.add('channel-lost', { peer: session.entry, upstream })
    clock.after(sessionGraceMs, () => {
      if (!session.connected) this._dispatcher.abandon(session)
    })
    clock.after(sessionKeepMs, () => {
      if (!session.connected) this._sessions.delete(session.incarnation)
    })
  }

  private _handleFrame (session: EntrySession, connection: Connection, frame: EntryFrame): void {
    const { body } = frame
    switch (body?.$case) {
      case 'request': return this._dispatcher.receiveRequest(session, body.value, this._refusal(body.value))
      case 'withdraw': return this._dispatcher.withdraw(session, body.value)
      case 'ack': {
        const run = session.runs.get(body.value.seq)
        if (body.value.done) session.runs.delete(body.value.seq)
        else run?.acknowledge(body.value.received)
        return
      }
      case 'heartbeat': return this._sendConfigIfNewer(connection, body.value.revision)
      case 'config':
        this.config.offer(body.value as ConfigDocument, session.entry)
        break
      case 'hello':
      case undefined:
    }
  }

  /** Failure of a request that is refused before it reaches the plan; undefined when the sidecar serves. */
  private _refusal (request: Request): Failure | undefined {
    if (this._state === 'serving') return undefined
    const code = this._state === 'leaving' ? 'leaving' : 'cold'
    return failure('not-run', code, `The upstream is ${this._state}. Another upstream may accept the request.`, request.idempotent ? 100 : 500)
  }

  /** Sends the configuration to an entry that has an older revision. */
  private _sendConfigIfNewer (connection: Connection, revision: number): void {
    const { document } = this.config
    if (document === undefined || revision >= document.revision) return
    connection.send({ body: { $case: 'config', value: toWireDocument(document) } })
  }

  private _heartbeat (): void {
    if (this._stopped) return
    this._detectPause()
    this._updateState()
    this._reporter.send()
    this._options.clock.after(this._options.heartbeatMs ?? defaultHeartbeatMs, () => this._heartbeat())
  }

  /** Reports a pause of the process: two heartbeats were further apart than the lease lasts. */
  private _detectPause (): void {
    const { clock, events, leaseMs, log } = this._options
    const now = clock.now()
    if (now - this._lastHeartbeatAt > leaseMs) {
      log.warn('sidecar', 'process was paused.', { ms: Math.round(now - this._lastHeartbeatAt) })
      events.add('process', { note: `paused ${Math.round(now - this._lastHeartbeatAt)} ms` })
    }
    this._lastHeartbeatAt = now
  }
}
