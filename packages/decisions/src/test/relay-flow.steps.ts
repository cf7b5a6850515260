/**
 * Drives the relay flow with any sequence of messages and compares each decision with a naive record of what may have
 * happened.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { relayFlow } from '../lib/relay-flow.js'
import type { RelayEffect, RelayMessage, RelayRequest } from '../lib/relay-messages.js'
import { propertyOptions } from './support/property-options.js'

/** A message; `fromLast`: whether it comes from the last of the upstreams that have the request. */
interface Arrival { readonly msg: RelayMessage, readonly fromLast: boolean }

interface Input { readonly request: RelayRequest, readonly messages: readonly Arrival[] }

const requests: fc.Arbitrary<RelayRequest> = fc.record({
  kind: fc.constantFrom('read-only' as const, 'non-idempotent' as const, 'stream' as const),
  resumable: fc.boolean(),
  maxAttempts: fc.integer({ min: 1, max: 4 })
})

const messages: fc.Arbitrary<RelayMessage> = fc.oneof(
  fc.integer({ min: 1, max: 5 }).map((n): RelayMessage => ({ kind: 'placed', upstream: `u${n}` })),
  fc.constantFrom<RelayMessage>(
    { kind: 'unplaced', cause: 'no-upstream' },
    { kind: 'refused', refusal: 'full' },
    { kind: 'refused', refusal: 'adapter-missing' },
    { kind: 'unreachable' }, { kind: 'lost' },
    { kind: 'whole', failed: true }, { kind: 'whole', failed: false },
    { kind: 'streaming' }, { kind: 'stream-ended' },
    { kind: 'stalled' }, { kind: 'stalled' }, { kind: 'stalled' }, { kind: 'overdue' }, { kind: 'overdue' }, { kind: 'overdue' },
    { kind: 'waited' }, { kind: 'timeout' }, { kind: 'caller-gone' }, { kind: 'stopping' }, { kind: 'process-end' }, { kind: 'held', cause: 'quarantined' }, { kind: 'held', cause: 'part-quarantined' }
  )
)

const inputs: fc.Arbitrary<Input> = fc.record({ request: requests, messages: fc.array(fc.record({ msg: messages, fromLast: fc.boolean() }), { maxLength: 40 }) })

const finals = new Set<RelayEffect['kind']>(['finish', 'fail', 'break', 'forget'])
const exchangeMessages = new Set<RelayMessage['kind']>(['refused', 'unreachable', 'lost', 'whole', 'streaming', 'stream-ended', 'stalled'])
/** Messages after which an answer may be given up although an upstream that has the request goes on. */
const interruptions = new Set<RelayMessage['kind']>(['timeout', 'caller-gone', 'held', 'process-end'])
const completions = new Set<RelayMessage['kind']>(['whole', 'stream-ended'])

/** A naive observer of one run, which collects violations. */
class Observer {
  readonly violations: string[] = []
  readonly upstreams = new Set<string>()
  /** Upstreams that have the request. */
  readonly open = new Set<string>()
  mayHaveRun = false
  final: RelayEffect | undefined
  /** Whether an upstream is looked for, and whether a pause runs. */
  private _placing = false
  private _pausing = false
  /** Upstreams that have sent a part of their answer. */
  private readonly _streaming = new Set<string>()
  private _isQuarantined = false
  private _isStopping = false
  private _lastMessage: RelayMessage['kind'] | undefined
  private _openAtMessage = 0

  constructor (private readonly _request: RelayRequest) {}

  /** Whether a message can arrive now; `from`: the upstream that it comes from. */
  isPossible (msg: RelayMessage, from: string | undefined): boolean {
    if (interruptions.has(msg.kind) || msg.kind === 'stopping') return true
    // An exchange whose answer has begun can neither be refused nor fail to connect.
    if (this._streaming.has(from ?? '') && (msg.kind === 'refused' || msg.kind === 'unreachable' || msg.kind === 'whole')) return false
    if (exchangeMessages.has(msg.kind) || msg.kind === 'overdue') return this.open.size > 0
    return msg.kind === 'waited' ? this._pausing : this._placing
  }

  /** Records a message that the flow has received. */
  heard (msg: RelayMessage): void {
    if (msg.kind === 'waited') this._pausing = false
    if (msg.kind === 'placed' || msg.kind === 'unplaced') this._placing = false
    if (msg.kind === 'streaming') this._streaming.add(msg.from!)
    if (msg.kind === 'unreachable') this.upstreams.delete(msg.from!)
    if (msg.kind === 'lost' || msg.kind === 'whole' || msg.kind === 'streaming') this.mayHaveRun = true
    if ((msg.kind === 'timeout' || msg.kind === 'process-end') && this.open.size > 0) this.mayHaveRun = true
    if (msg.kind === 'stopping') this._isStopping = true
    if (msg.kind === 'held') this._onQuarantined()
    if ('from' in msg && msg.kind !== 'streaming' && msg.kind !== 'stalled') this._closed(msg.from!)
    this._lastMessage = msg.kind
    this._openAtMessage = this.open.size
  }

  private _closed (upstream: string): void {
    this.open.delete(upstream)
    this._streaming.delete(upstream)
  }

  /** A non-idempotent request stays at its upstream, which may still answer that it did not run. */
  private _onQuarantined (): void {
    this._isQuarantined = true
    if (this.open.size > 0 && this._request.kind !== 'non-idempotent') this.mayHaveRun = true
  }

  onEffect (effect: RelayEffect): void {
    if (this.final !== undefined) this.violations.push(`${effect.kind} after ${this.final.kind}`)
    if (finals.has(effect.kind)) this.final = effect
    if (effect.kind === 'place') this._onPlace()
    if (effect.kind === 'wait') this._pausing = true
    if (effect.kind === 'abandon') this._onAbandon(effect.upstream)
    if (effect.kind === 'send') this._onSend(effect.upstream, 0)
    if (effect.kind === 'send-beside') this._onSend(effect.upstream, this._runsOnce ? 0 : 1)
    if (finals.has(effect.kind) && !this._runsOnce && this.open.size > 0) this.violations.push(`left running after ${effect.kind}`)
    const isGivenUp = effect.kind === 'fail' || effect.kind === 'break'
    if (isGivenUp && this._openAtMessage > 0 && !interruptions.has(this._lastMessage!)) this.violations.push('given up while an upstream has it')
    if (this._lastMessage === 'stopping' && !finals.has(effect.kind) && effect.kind !== 'deliver') this.violations.push('goes on without an upstream although the entry stops')
    if (effect.kind === 'fail' && effect.notRun && this.mayHaveRun) this.violations.push('answered "not run" of what may have run')
  }

  private _onPlace (): void {
    if (this._placing || this._pausing) this.violations.push('two searches at once')
    if (this._isStopping && !this.mayHaveRun && this.open.size === 0) this.violations.push('placed although the entry stops and it has not run')
    this._placing = true
  }

  private get _runsOnce (): boolean {
    return this._request.kind === 'non-idempotent' || (this._request.kind === 'stream' && !this._request.resumable)
  }

  /** An upstream from which the request is withdrawn may have run it. */
  private _onAbandon (upstream: string | undefined): void {
    const withdrawn = upstream === undefined ? [...this.open] : [upstream]
    if (withdrawn.length > 0) this.mayHaveRun = true
    if (withdrawn.some(each => !this.open.has(each))) this.violations.push('withdrawn from an upstream that does not have it')
    for (const each of withdrawn) this._closed(each)
    if (withdrawn.length > 0 && this.open.size === 0 && !interruptions.has(this._lastMessage!) && !completions.has(this._lastMessage!)) this.violations.push('withdrawn from its only upstream')
    if ([...this.open].some(each => !this._streaming.has(each)) && this._lastMessage === 'streaming') this.violations.push('withdrawn in favour of an upstream that has sent nothing')
  }

  private _onSend (upstream: string, others: number): void {
    if (this.open.size > others || this.open.has(upstream)) this.violations.push('two upstreams at once')
    if (this._isQuarantined) this.violations.push('sent though quarantined')
    if (this._runsOnce && this.mayHaveRun) this.violations.push('sent again after it may have run')
    this.open.add(upstream)
    this.upstreams.add(upstream)
    if (this.upstreams.size > this._request.maxAttempts) this.violations.push('sent to too many upstreams')
  }
}

function observe ({ request, messages: list }: Input): Observer {
  const observer = new Observer(request)
  const flow = relayFlow(request, { takeRetry: () => true, hasRetry: () => true, returnRetry: () => {}, isAllowed: () => true, quarantine: () => undefined })
  let step = flow.next()
  for (const effect of step.value ?? []) observer.onEffect(effect)
  for (const { msg: drawn, fromLast } of list) {
    if (observer.final !== undefined) break
    const open = [...observer.open]
    const from = open[fromLast ? open.length - 1 : 0]
    if (!observer.isPossible(drawn, from)) continue
    const msg = exchangeMessages.has(drawn.kind) ? { ...drawn, from: from! } as RelayMessage : drawn
    observer.heard(msg)
    step = flow.next(msg)
    for (const effect of step.value ?? []) observer.onEffect(effect)
  }
  if (observer.final !== undefined) return observer
  observer.heard({ kind: 'timeout' })
  step = flow.next({ kind: 'timeout' })
  for (const effect of step.value ?? []) observer.onEffect(effect)
  if (observer.final === undefined) observer.violations.push('without an end')
  return observer
}

/** Asserts that no run has a violation whose text includes the given one. */
function assertNoViolation (text: string): void {
  fc.assert(fc.property(inputs, input => {
    const broken = observe(input).violations.filter(violation => violation.includes(text))
    assert.deepEqual(broken, [])
  }), { ...propertyOptions, numRuns: 2_000 })
}

Then('for any direct request at most one upstream has it at any time, two have an idempotent one that is late, and nothing follows its final answer', () => {
  assertNoViolation('two upstreams')
  assertNoViolation('two searches')
  assertNoViolation(' after ')
  assertNoViolation('withdrawn from')
})

Then('any direct request ends with one answer or one refusal, and is not given up or withdrawn while an upstream that has it may go on', () => {
  assertNoViolation('without an end')
  assertNoViolation('given up')
  assertNoViolation('only upstream')
  assertNoViolation('in favour of')
  assertNoViolation('left running')
})

Then('for any direct request that may run once, nothing is sent after it may have run', () => assertNoViolation('sent again'))

Then('for any direct request "not run" is answered only when it certainly did not run', () => assertNoViolation('answered "not run"'))

Then('for any direct request no more upstreams are tried than its route allows', () => assertNoViolation('too many'))

Then('for any direct request nothing is sent once it is quarantined', () => assertNoViolation('quarantined'))

Then('no direct request is placed that has not run once its entry stops, and each ends with the process', () => {
  assertNoViolation('the entry stops')
  fc.assert(fc.property(inputs, input => {
    const observer = observe({ ...input, messages: [...input.messages, { msg: { kind: 'process-end' }, fromLast: false }] })
    assert.ok(observer.final !== undefined && observer.violations.length === 0, String(observer.violations))
  }), propertyOptions)
})

interface FlowWorld { flow: ReturnType<typeof relayFlow>, effects: readonly RelayEffect[], repeats: number, isBudgetSpent?: boolean }

function start (world: FlowWorld, request: RelayRequest): void {
  world.repeats = 0
  world.flow = relayFlow(request, {
    takeRetry: () => {
      world.repeats++
      return true
    },
    hasRetry: () => world.isBudgetSpent !== true,
    returnRetry: () => { world.repeats-- },
    isAllowed: () => true,
    quarantine: () => undefined
  })
  world.flow.next()
  send(world, { kind: 'placed', upstream: 'u1' })
}

function send (world: FlowWorld, msg: RelayMessage): void { world.effects = world.flow.next(msg).value ?? [] }

Given('a direct booking that may be sent to {int} upstream(s)', function (this: FlowWorld, maxAttempts: number) {
  start(this, { kind: 'non-idempotent', resumable: false, maxAttempts })
})

Given('a direct stock check that may be sent to {int} upstreams', function (this: FlowWorld, maxAttempts: number) {
  start(this, { kind: 'read-only', resumable: false, maxAttempts })
})

When('its upstream accepts no connection', function (this: FlowWorld) { send(this, { kind: 'unreachable' }) })

Then('it is placed again and the budget is untouched', function (this: FlowWorld) {
  assert.equal(this.effects[0]?.kind, 'place')
  send(this, { kind: 'placed', upstream: 'u2' })
  assert.deepEqual(this.effects, [{ kind: 'send', upstream: 'u2' }])
  assert.equal(this.repeats, 0)
})

When('its upstream refuses it for lack of the adapter', function (this: FlowWorld) { send(this, { kind: 'refused', refusal: 'adapter-missing' }) })

Then('it waits a moment and is placed at the same upstream', function (this: FlowWorld) {
  const waits = this.effects.map(({ kind }) => kind)
  assert.deepEqual(waits, ['wait'])
  send(this, { kind: 'waited' })
  const [effect] = this.effects
  assert.ok(effect?.kind === 'place' && effect.retryUpstream === 'u1')
})

When('it accepts no connection when the request is sent there again', function (this: FlowWorld) {
  send(this, { kind: 'waited' })
  send(this, { kind: 'placed', upstream: 'u1' })
  send(this, { kind: 'unreachable', from: 'u1' })
})

Then('it is sent to no other upstream, and refused as not run', function (this: FlowWorld) {
  send(this, { kind: 'placed', upstream: 'u2' })
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'attempts-spent', notRun: true }])
})

When('its upstream answers with an error and no other is available', function (this: FlowWorld) {
  send(this, { kind: 'whole', failed: true })
  send(this, { kind: 'unplaced', cause: 'no-upstream' })
})

Then('the error is delivered', function (this: FlowWorld) {
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['deliver', 'finish'])
})

When('its answer has begun and the rest is lost', function (this: FlowWorld) {
  send(this, { kind: 'streaming' })
  send(this, { kind: 'lost' })
})

Then('the direct answer is broken', function (this: FlowWorld) {
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['break'])
})

Given('a resumable stream that may be sent to {int} upstreams', function (this: FlowWorld, maxAttempts: number) {
  start(this, { kind: 'stream', resumable: true, maxAttempts })
  send(this, { kind: 'streaming' })
})

When('its upstream stalls while the retry budget is spent', function (this: FlowWorld) {
  this.isBudgetSpent = true
  send(this, { kind: 'stalled', from: 'u1' })
})

Then('no second upstream is looked for until the budget leaves a retry', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [])
  this.isBudgetSpent = false
  send(this, { kind: 'stalled', from: 'u1' })
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['place'])
})

When('its upstream stalls and {int} others in turn accept no connection', function (this: FlowWorld, upstreams: number) {
  send(this, { kind: 'stalled', from: 'u1' })
  for (let n = 1; n <= upstreams; n++) {
    send(this, { kind: 'placed', upstream: `v${n}` })
    send(this, { kind: 'unreachable', from: `v${n}` })
  }
})

Then('no retry is used up', function (this: FlowWorld) { assert.equal(this.repeats, 0) })

Given('a direct stock check that is quarantined', function (this: FlowWorld) {
  this.flow = relayFlow({ kind: 'read-only', resumable: false, maxAttempts: 2 }, { takeRetry: () => true, hasRetry: () => true, returnRetry: () => {}, isAllowed: () => true, quarantine: () => 'quarantined' })
  this.effects = this.flow.next().value ?? []
})

When('it is quarantined while its upstream has it', function (this: FlowWorld) { send(this, { kind: 'held', cause: 'quarantined' }) })

Then('it is refused at once as not run', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'quarantined', notRun: true }])
})

Then('it is withdrawn from its upstream and its caller is answered that it may have run', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'abandon' }, { kind: 'fail', failure: 'quarantined', notRun: false }])
})

Then('it stays there, and is not sent again when its upstream refuses it', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [])
  send(this, { kind: 'refused', refusal: 'full' })
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'quarantined', notRun: true }])
})

When('the entry stops while its upstream has it, which then refuses it', function (this: FlowWorld) {
  send(this, { kind: 'stopping' })
  assert.deepEqual(this.effects, [])
  send(this, { kind: 'refused', refusal: 'full' })
})

When('the entry stops while a second upstream is looked for after a lost answer', function (this: FlowWorld) {
  send(this, { kind: 'lost' })
  send(this, { kind: 'stopping' })
})

Then('it is refused as not run, since the entry stops', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'shutting-down', notRun: true }])
})

Then('it is answered that it may have run', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'shutting-down', notRun: false }])
})

When('its upstream stalls and no other is available', function (this: FlowWorld) {
  send(this, { kind: 'stalled' })
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['place'])
  send(this, { kind: 'unplaced', cause: 'adapter-unavailable' })
})

Then('it stays where it is, and ends complete when the upstream continues', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [])
  send(this, { kind: 'stream-ended' })
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['finish'])
})

When('its upstream stalls and another can take it', function (this: FlowWorld) {
  send(this, { kind: 'stalled' })
  send(this, { kind: 'placed', upstream: 'u2' })
})

Then('both have it until the first data of either, and it is withdrawn from the other', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'send-beside', upstream: 'u2', cause: 'stalled' }])
  assert.equal(this.repeats, 1)
  for (const [from, other] of [['u1', 'u2'], ['u2', 'u1']] as const) {
    assert.deepEqual(afterStall({ kind: 'streaming', from }), [{ kind: 'abandon', upstream: other }])
    assert.deepEqual(afterStall({ kind: 'stream-ended', from }), [{ kind: 'abandon', upstream: other }, { kind: 'finish' }])
  }
})

Then('a refusal, a failed connection, an error or a lost answer of the second leaves it at the first', () => {
  const ends: readonly RelayMessage[] = [{ kind: 'refused', refusal: 'full', from: 'u2' }, { kind: 'refused', refusal: 'adapter-missing', from: 'u2' }, { kind: 'lost', from: 'u2' }, { kind: 'whole', failed: true, from: 'u2' }]
  for (const end of ends) {
    assert.deepEqual(afterStall(end), [], end.kind)
    assert.deepEqual(afterStall(end, { kind: 'stalled', from: 'u1' }, { kind: 'stream-ended', from: 'u1' }), [{ kind: 'finish' }], end.kind)
  }
  assert.deepEqual(afterStall({ kind: 'unreachable', from: 'u2' }).map(({ kind }) => kind), ['place'])
})

Then('the end of the first leaves it to the second', () => {
  assert.deepEqual(afterStall({ kind: 'lost', from: 'u1' }), [])
  assert.deepEqual(afterStall({ kind: 'lost', from: 'u1' }, { kind: 'refused', refusal: 'full', from: 'u2' }).map(({ kind }) => kind), ['break'])
})

/** Effects of messages that follow when a stream that has begun is at two upstreams. */
function afterStall (...following: readonly RelayMessage[]): readonly RelayEffect[] {
  const world = {} as FlowWorld
  start(world, { kind: 'stream', resumable: true, maxAttempts: 2 })
  for (const msg of [{ kind: 'streaming', from: 'u1' }, { kind: 'stalled', from: 'u1' }, { kind: 'placed', upstream: 'u2' }, ...following] as const) send(world, msg)
  return world.effects
}

When('its upstream stalls and breaks the connection while another is looked for', function (this: FlowWorld) {
  send(this, { kind: 'stalled' })
  send(this, { kind: 'lost' })
})

Then('no second search starts, and it continues where it is placed', function (this: FlowWorld) {
  assert.ok(this.effects.every(({ kind }) => kind === 'abandon'))
  send(this, { kind: 'placed', upstream: 'u2' })
  assert.deepEqual(this.effects, [{ kind: 'send', upstream: 'u2' }])
})

When('its upstream stalls, goes on and breaks the connection while another is looked for in vain', function (this: FlowWorld) {
  send(this, { kind: 'stalled' })
  send(this, { kind: 'streaming' })
  send(this, { kind: 'lost' })
  send(this, { kind: 'unplaced', cause: 'no-upstream' })
})

Then('another is looked for once more, and without one the stream is cut off', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'place', avoid: new Set(['u1']) }])
  send(this, { kind: 'unplaced', cause: 'no-upstream' })
  assert.deepEqual(this.effects, [{ kind: 'break', failure: 'no-upstream' }])
})

Given('a direct stock check whose key is withdrawn before it is placed', function (this: FlowWorld) {
  this.flow = relayFlow({ kind: 'read-only', resumable: false, maxAttempts: 2 }, { takeRetry: () => true, hasRetry: () => true, returnRetry: () => {}, isAllowed: () => false, quarantine: () => undefined })
  this.flow.next()
  send(this, { kind: 'placed', upstream: 'u1' })
})

Then('it is refused as not run, since its key was withdrawn', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'key-withdrawn', notRun: true }])
})

When('it is overdue', function (this: FlowWorld) { send(this, { kind: 'overdue' }) })

When('it is overdue and another upstream can take it', function (this: FlowWorld) {
  send(this, { kind: 'overdue' })
  assert.deepEqual(this.effects.map(effect => effect.kind === 'place' && effect.beside), ['overdue'])
  send(this, { kind: 'placed', upstream: 'u2' })
})

Then('the second upstream has it as well, for one retry of the budget', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'send-beside', upstream: 'u2', cause: 'overdue' }])
  assert.equal(this.repeats, 1)
})

/** Effects of messages that follow when a read is at two upstreams. */
function afterBeside (...following: readonly RelayMessage[]): readonly RelayEffect[] {
  const world = {} as FlowWorld
  start(world, { kind: 'read-only', resumable: false, maxAttempts: 2 })
  for (const msg of [{ kind: 'overdue' }, { kind: 'placed', upstream: 'u2' }, ...following] as const) send(world, msg)
  return world.effects
}

Then('the first answer is delivered and the other upstream is withdrawn, whichever answers first', () => {
  for (const [from, other] of [['u1', 'u2'], ['u2', 'u1']] as const) {
    assert.deepEqual(afterBeside({ kind: 'whole', failed: false, from }), [{ kind: 'abandon', upstream: other }, { kind: 'deliver' }, { kind: 'finish' }])
    assert.deepEqual(afterBeside({ kind: 'streaming', from }), [{ kind: 'abandon', upstream: other }, { kind: 'deliver' }])
  }
})

Then('an error, a lost answer, a refusal or a failed connection of one leaves it to the other', () => {
  for (const [from, other] of [['u1', 'u2'], ['u2', 'u1']] as const) {
    const ends: readonly RelayMessage[] = [{ kind: 'whole', failed: true, from }, { kind: 'lost', from }, { kind: 'refused', refusal: 'full', from }, { kind: 'unreachable', from }]
    for (const end of ends) {
      assert.ok(afterBeside(end).every(({ kind }) => kind === 'hold'), end.kind)
      assert.deepEqual(afterBeside(end, { kind: 'whole', failed: false, from: other }).map(({ kind }) => kind), ['deliver', 'finish'], end.kind)
    }
    assert.deepEqual(afterBeside(ends[0]!, { kind: 'lost', from: other }).map(({ kind }) => kind), ['deliver', 'finish'])
  }
})

Then('it stays where it is', function (this: FlowWorld) { assert.deepEqual(this.effects, []) })
