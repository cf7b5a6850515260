/**
 * Runs one request with the events of its upstreams, its caller and its operators in random order, and collects what must
 * not happen.
 */
import { FakeClock, type Log } from '@hazelford/core'
import type { CallCodec, Route } from '@hazelford/ports'
import type { CallerAnswer } from '../../lib/relay/caller-answer.js'
import type { ExchangeRequest, ExchangeSink, LossKind } from '../../lib/relay/exchange.js'
import { type BufferedCall, type RelayExchange, type RelaySummary, RelayTask } from '../../lib/relay/relay-task.js'
import type { Placement, PlacementQuery } from '../../lib/placing/placer.js'
import { Upstream } from '../../lib/placing/upstream.js'
import { seededRandom } from './seeded-random.js'

const steps = 120
const events = 5
const timeout = 5_000
const head = { status: 200, message: 'OK', headers: [], framed: true }
const eventPattern = /^id: (\d+)\ndata: (\S+)$/gm

/** An upstream that counts what it gets back. */
class CountingUpstream extends Upstream {
  unused = 0
  override recordUnusedSlot (): void {
    this.unused++
    super.recordUnusedSlot()
  }
}

/** The upstream's end of an exchange. */
class ModelExchange implements RelayExchange {
  readonly openedAt: number
  /** Id of the last event that it has sent, or that its caller has. */
  last: number
  begun = false
  paused = false
  verified: boolean
  state: 'open' | 'abandoned' | 'ignored' | 'ended' = 'open'
  /** Whether the request may have run. */
  mayHaveRun = false
  isUnreachable = false

  constructor (private readonly _model: RelayModel, readonly upstream: CountingUpstream, readonly request: ExchangeRequest, readonly sink: ExchangeSink) {
    this.openedAt = _model.clock.now()
    this.last = request.lastEventId ?? 0
    this.verified = request.verify === undefined
    request.verify?.(this.openedAt).then(isVerified => {
      this.verified = isVerified
      if (!isVerified && this.state === 'open') this.lose('other-software')
    }, () => {})
  }

  abandon (): void {
    if (this.state !== 'open') return
    this.state = 'abandoned'
    this._model.onAbandon(this)
  }

  ignore (): void { if (this.state === 'open') this.state = 'ignored' }
  pause (): void { this.paused = true }
  resume (): void { this.paused = false }

  lose (kind: LossKind): void {
    this.state = 'ended'
    this.mayHaveRun = true
    this.sink.lost('lost', kind)
  }

  sendEvents (count: number): void {
    const from = this.last
    this.last = Math.min(events, from + count)
    this.mayHaveRun = true
    this._model.progressed = this
    const ids = Array.from({ length: this.last - from }, (_, n) => from + n + 1)
    if (!this.begun) this.sink.begin(head)
    this.begun = true
    if (ids.length > 0) this.sink.data(Buffer.from(ids.map(id => `id: ${id}\ndata: ${this.upstream.record.software}\n\n`).join('')), this._model.isStream ? this.last : undefined)
  }

  end (): void {
    this.state = 'ended'
    this.mayHaveRun = true
    this._model.progressed = this
    if (!this.begun) this.sink.begin(head)
    this.sink.end()
  }

  answer (status: number): void {
    this.state = 'ended'
    this.mayHaveRun = true
    if (status < 500) this._model.progressed = this
    this.sink.whole({ ...head, status, body: Buffer.from('whole') })
  }
}

interface OpenPlacement { readonly query: PlacementQuery, readonly resolve: (placement: Placement) => void }
interface Given { readonly upstream: CountingUpstream, refunds: number, sent: ModelExchange | undefined }

/** One request in a small world. */
export class RelayModel {
  readonly clock = new FakeClock()
  readonly violations: string[] = []
  /** What happened, for the report of a violation. */
  readonly trace: string[] = []
  /** The exchange whose data or answer is being handled. */
  progressed: ModelExchange | undefined
  private readonly _random: () => number
  private readonly _upstreams: readonly CountingUpstream[]
  private readonly _route: Route
  private readonly _exchanges: ModelExchange[] = []
  private readonly _given: Given[] = []
  private readonly _placements: OpenPlacement[] = []
  private readonly _checks: ((isVerified: boolean) => void)[] = []
  private readonly _task: RelayTask
  private readonly _received: string[] = []
  private _summary: RelaySummary | undefined
  private _end: 'whole' | 'end' | 'fail' | 'break' | undefined
  private _begun = false
  private _drains: (() => void)[] = []
  private _interruption: string | undefined
  private _retries = 0
  private _overdue = 0
  private _version = 1
  private _isAllowed = true

  constructor (seed: number) {
    this._random = seededRandom((seed * 2_654_435_761) % 2 ** 32)
    const kind = this._pick(['read-only', 'stream', 'stream', 'stream', 'non-idempotent'] as const)
    this._route = { name: 'r', host: 'h', pathPrefix: '/', kind, targets: [], timeout, latencyTarget: 200, priority: 1, maxAttempts: this._pick([1, 2, 2, 3]), resumable: this._random() < 0.8, public: true, gapTarget: 100 }
    const mixed = this._random() < 0.4
    this._upstreams = ['u1', 'u2', 'u3'].map((id, n) => new CountingUpstream({ id, service: 's', software: mixed && n === 2 ? 'v2' : 'v1', host: '127.0.0.1', port: 1, zone: 'z', slots: 8, state: 'ready', models: [], orders: 0, ...(this._random() < 0.5 ? { startedAt: 1 } : {}) }, this.clock, 10))
    this._task = new RelayTask(this._call(), this._route, 's', this._answer(), this._options())
    this._task.start()
  }

  private _pick<T> (values: readonly T[]): T { return values[Math.floor(this._random() * values.length)]! }

  get isStream (): boolean { return this._route.kind === 'stream' }

  private get _isIdempotent (): boolean { return this._route.kind === 'read-only' || (this._route.kind === 'stream' && this._route.resumable) }

  private _call (): BufferedCall {
    const facts = { id: 'q', patience: undefined, model: 'm', adapter: 'a', promptTokens: 1, maxOutputTokens: 1, declaresTokens: true, promptParts: [], lastEventId: undefined, resumes: undefined }
    return { facts, method: 'POST', host: 'h', path: '/', headers: [], body: undefined, arrivedAt: 0, byKey: false, organisation: undefined, priority: 1, sharedParts: ['p'] }
  }

  private _answer (): CallerAnswer {
    const finish = (end: NonNullable<RelayModel['_end']>): void => {
      if (this._end !== undefined) this._violate(`${end} after ${this._end}`)
      this._end = end
      this._begun = true
      const alive = this._alive.map(({ upstream }) => upstream.id)
      if ((end === 'fail' || end === 'break') && alive.length > 0 && this._interruption === undefined) this._violate(`${end} while ${alive.join()} had it`)
    }
    const model = this
    const answer = {
      get begun () { return model._begun },
      get ended () { return model._end !== undefined },
      whole: () => {
        if (this._begun) this._violate('whole answer within another one')
        finish('whole')
      },
      begin: () => {
        if (this._begun) this._violate('a second head')
        this._begun = true
      },
      data: (bytes: Buffer) => {
        this._received.push(bytes.toString())
        return this._drains.length === 0 && this._random() < 0.8
      },
      onDrain: (run: () => void) => { this._drains.push(run) },
      end: () => finish('end'),
      fail: ({ notRun }: { readonly notRun: boolean }) => {
        if (this._begun) this._violate('an error within an answer')
        if (notRun && this._exchanges.some(({ mayHaveRun }) => mayHaveRun)) this._violate('answered as not run')
        finish('fail')
      },
      break: () => finish('break')
    }
    return answer as unknown as CallerAnswer
  }

  private _options (): ConstructorParameters<typeof RelayTask>[4] {
    const log: Log = { info: () => {}, warn: (_, sentence, fields) => { if (sentence.includes('fault')) this._violate(`${sentence} ${JSON.stringify(fields)}`) } }
    const codec = { forwardHeaders: () => [] } as unknown as CallCodec
    const none = (): void => {}
    return {
      clock: this.clock,
      log,
      codec,
      exchange: (pool, request, sink) => this._openExchange(this._upstreams.find(upstream => upstream.pool === pool)!, request, sink),
      want: () => this._route.kind === 'stream' ? { model: 'm', adapter: 'a', version: this._version } : undefined,
      place: query => new Promise(resolve => { this._placements.push({ query, resolve }) }),
      software: { kind: 'any' },
      verifyIncarnation: () => new Promise(resolve => { this._checks.push(resolve) }),
      began: none,
      overdueTime: () => ({ after: 50, typical: 20 }),
      overdue: () => {
        this._overdue++
        return () => { this._overdue-- }
      },
      silentUpstreams: () => new Set(),
      lateEvent: none,
      takeRepeat: () => {
        const isLeft = this._random() < 0.9
        if (isLeft) this._retries++
        return isLeft
      },
      hasRepeat: () => true,
      returnRepeat: none,
      isAllowed: () => this._isAllowed,
      refusesFrom: () => Infinity,
      quarantine: () => undefined,
      answerLost: none,
      partsAnswered: none,
      noticed: none,
      retryAfter: () => 100,
      adapterBroken: none,
      exchanged: none,
      streamEnded: none,
      configVersion: () => this._version,
      longestPause: () => 0,
      answerCut: none,
      endUnproved: none,
      exceeded: none,
      over: summary => {
        if (this._summary !== undefined) this._violate('over twice')
        this._summary = summary
      }
    }
  }

  private _openExchange (upstream: CountingUpstream, request: ExchangeRequest, sink: ExchangeSink): ModelExchange {
    const given = this._given.findLast(placement => placement.upstream === upstream && placement.sent === undefined)
    const isFirst = this._exchanges.every(({ isUnreachable }) => isUnreachable)
    const exchange = new ModelExchange(this, upstream, request, sink)
    if (given === undefined) this._violate(`sent to ${upstream.id} without a placement`)
    else given.sent = exchange
    if (this._alive.some(other => other.upstream === upstream) || this._alive.length > (this._isIdempotent ? 1 : 0)) this._violate('too many upstreams have it')
    if (!this._isIdempotent && this._exchanges.some(({ mayHaveRun }) => mayHaveRun)) this._violate('sent again after it may have run')
    if (this._summary !== undefined || this._end !== undefined) this._violate('sent after its end')
    if (this._retries !== (isFirst ? 0 : 1)) this._violate(`${this._retries} retries taken for one send`)
    this._retries = 0
    this._exchanges.push(exchange)
    this.trace.push(`sent to ${upstream.id} after ${exchange.last}`)
    return exchange
  }

  private get _alive (): readonly ModelExchange[] { return this._exchanges.filter(({ state }) => state === 'open') }

  /** An upstream is withdrawn from only when another one goes on, or nobody needs the answer. */
  onAbandon (exchange: ModelExchange): void {
    this.trace.push(`withdrawn from ${exchange.upstream.id}`)
    if (this._interruption === undefined && (this.progressed === undefined || this.progressed === exchange)) this._violate(`withdrawn from ${exchange.upstream.id} for nothing`)
  }

  private _violate (text: string): void { this.violations.push(text) }

  /** Plays the request to its end. */
  async play (): Promise<void> {
    for (let n = 0; n < steps && this._summary === undefined; n++) await this._step(() => this._act())
    if (this._summary === undefined) {
      this._interruption = 'timeout'
      await this._step(() => this.clock.advance(timeout + 1_000))
    }
    while (this._placements.length > 0 || this._checks.length > 0) await this._step(() => this._resolveAny())
    this._checkEnd()
  }

  /** Performs an action, and lets everything that it has caused happen. */
  private async _step (act: () => void): Promise<void> {
    act()
    for (let turn = 0; turn < 5; turn++) await new Promise(resolve => { setImmediate(resolve) })
    this._checkPauses()
    this.progressed = undefined
  }

  private _act (): void {
    const draw = this._random()
    const exchange = this._alive.length > 0 ? this._pick(this._alive) : undefined
    if (this._drains.length > 0 && draw < 0.3) {
      const drains = this._drains
      this._drains = []
      for (const drain of drains) drain()
    } else if (draw < 0.35) this._resolveAny()
    else if (draw < 0.4) this.clock.advance(this._pick([10, 60, 400]))
    else if (draw < 0.42) this._version++
    else if (draw < 0.425) this._isAllowed = false
    else if (draw < 0.435) this._interrupt()
    else if (exchange === undefined) this._resolveAny()
    else this._actAt(exchange)
  }

  private _interrupt (): void {
    this._interruption = this._pick(['gone', 'quarantined', 'part-quarantined'] as const)
    this.trace.push(this._interruption)
    if (this._interruption === 'gone') this._task.callerGone()
    else this._task.endQuarantined(this._interruption as 'quarantined')
  }

  private _resolveAny (): void {
    const check = this._checks.shift()
    if (check !== undefined && this._random() < 0.6) return check(this._random() < 0.8)
    if (check !== undefined) this._checks.push(check)
    const open = this._placements.shift()
    if (open === undefined) return
    const { query: { avoid, only, software, retryUpstream }, resolve } = open
    const fits = this._upstreams.filter(({ id, record }) => ((only?.has(id) ?? !avoid.has(id)) || id === retryUpstream) && (software.kind === 'any' || (software.kind === 'version' && software.software === record.software)))
    if (fits.length === 0 || software.kind === 'unknown' || this._random() < 0.1) return resolve({ kind: 'unplaced', cause: 'no-upstream' })
    const upstream = fits.find(({ id }) => id === retryUpstream) ?? this._pick(fits)
    const given: Given = { upstream, refunds: 0, sent: undefined }
    this._given.push(given)
    this.trace.push(`placed at ${upstream.id}`)
    resolve({ kind: 'placed', upstream, version: this._version, refund: () => { given.refunds++ } })
  }

  private _actAt (exchange: ModelExchange): void {
    const isRead = exchange.verified && !exchange.paused
    const isLate = this._isIdempotent && !exchange.paused
    const actions: readonly (readonly [name: string, weight: number, isPossible: boolean, run: () => void])[] = [
      ['event', 5, isRead && exchange.last < events, () => exchange.sendEvents(1)],
      ['events', 2, isRead && exchange.last < events, () => exchange.sendEvents(2)],
      ['end', 6, isRead && exchange.last === events, () => exchange.end()],
      ['stalled', 5, isLate, () => exchange.sink.stalled('silent')],
      ['lost', 1, true, () => exchange.lose('broke')],
      ['refused', 1, !exchange.begun, () => {
        exchange.state = 'ended'
        exchange.sink.refused(this._pick(['full', 'adapter-missing', 'other-instance']))
      }],
      ['unreachable', 1, !exchange.begun && !exchange.mayHaveRun, () => {
        exchange.state = 'ended'
        exchange.isUnreachable = true
        exchange.sink.unreachable('nobody listens')
      }],
      ['error', 1, !exchange.begun, () => exchange.answer(500)],
      ['answer', 1, !exchange.begun && this._route.kind !== 'stream', () => exchange.answer(200)]
    ]
    const [name, , , run] = this._pick(actions.flatMap(action => Array.from({ length: action[2] ? action[1] : 0 }, () => action)))
    this.trace.push(`${exchange.upstream.id} ${name}`)
    run()
  }

  private _checkEnd (): void {
    if (this._summary === undefined) return this._violate('without an end')
    const { end, notRun } = this._summary
    if (end !== 'caller-gone' && this._end === undefined) this._violate('without an answer')
    if (end === 'caller-gone' && this._end !== undefined) this._violate('an answer to nobody')
    if (notRun && this._exchanges.some(({ mayHaveRun }) => mayHaveRun)) this._violate('counted as not run')
    this._checkEvents()
    const servers = new Set(this._exchanges.filter(({ isUnreachable }) => !isUnreachable).map(({ upstream }) => upstream.id))
    if (servers.size > this._route.maxAttempts) this._violate(`sent to ${servers.size} upstreams`)
    const left = this._exchanges.filter(({ state }) => state === 'open' || state === 'ignored')
    if (left.length > (this._isIdempotent ? 0 : 1) || left.some(({ state }) => state === 'open')) this._violate(`left at ${left.map(({ upstream }) => upstream.id).join()}`)
    for (const { id, outstanding, uses, unused } of this._upstreams) {
      if (outstanding !== 0 || uses.length > 0) this._violate(`${outstanding} requests counted at ${id}`)
      const expected = this._given.filter(({ upstream, sent }) => upstream.id === id && sent === undefined).length
      if (unused !== expected) this._violate(`${unused} slots of ${id} returned, ${expected} unused`)
    }
    for (const { upstream, refunds, sent } of this._given) {
      const expected = sent === undefined || sent.isUnreachable ? 1 : 0
      if (refunds !== expected) this._violate(`limit of ${upstream.id} returned ${refunds} times, ${expected} expected`)
    }
    if (this._retries > 0) this._violate('a retry was taken for nothing')
    if (this._overdue !== 0) this._violate(`${this._overdue} overdue reads left`)
  }

  /** Only the exchange whose data a slow caller has yet to read is paused. */
  private _checkPauses (): void {
    const isFull = this._drains.length > 0
    if (isFull && this.progressed?.state === 'open' && !this.progressed.paused) this._violate(`${this.progressed.upstream.id} is read for a slow caller`)
    if (!isFull && this._alive.some(({ paused }) => paused)) this._violate('paused for good')
  }

  private _checkEvents (): void {
    const received = [...this._received.join('').matchAll(eventPattern)]
    const ids = received.map(match => Number(match[1]))
    if (ids.some((id, n) => id !== n + 1)) this._violate(`events ${ids.join()}`)
    if (this._end === 'end' && ids.length !== events) this._violate(`complete with ${ids.length} events`)
    const software = new Set(received.map(match => match[2]))
    if (software.size > 1) this._violate('events of two software versions')
  }
}
