/**
 * Drives the relay flow with any sequence of messages and compares each decision with a
 * naive reading of what may have happened.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { type RelayEffect, relayFlow, type RelayMessage, type RelayRequest } from '../lib/relay-flow.js'
import { propertyOptions } from './support/property-options.js'

interface Input { readonly request: RelayRequest, readonly messages: readonly RelayMessage[] }

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
    { kind: 'stalled' }, { kind: 'stalled' }, { kind: 'moves-again' },
    { kind: 'waited' }, { kind: 'timeout' }, { kind: 'caller-gone' }, { kind: 'held' }
  )
)

const inputs: fc.Arbitrary<Input> = fc.record({ request: requests, messages: fc.array(messages, { maxLength: 40 }) })

const finals = new Set<RelayEffect['kind']>(['finish', 'fail', 'break', 'forget'])
const ofExchange = new Set<RelayMessage['kind']>(['refused', 'unreachable', 'lost', 'whole', 'streaming', 'stream-ended'])

/** What a naive observer makes of one run. */
class Observer {
  readonly violations: string[] = []
  readonly upstreams = new Set<string>()
  open = false
  mayHaveRun = false
  final: RelayEffect | undefined
  /** Whether a place is looked for, and whether a pause runs. */
  private _placing = false
  private _pausing = false
  private _current = ''
  private _streams = false
  private _held = false

  constructor (private readonly _request: RelayRequest) {}

  /** Whether a message can come now. */
  possible (msg: RelayMessage): boolean {
    if (msg.kind === 'timeout' || msg.kind === 'caller-gone' || msg.kind === 'held') return true
    // An exchange whose answer has begun can't be refused, nor turn out unreachable.
    if (this._streams && (msg.kind === 'refused' || msg.kind === 'unreachable' || msg.kind === 'whole')) return false
    if (ofExchange.has(msg.kind) || msg.kind === 'stalled') return this.open
    if (msg.kind === 'moves-again') return this.open && this._placing
    return msg.kind === 'waited' ? this._pausing : this._placing
  }

  heard (msg: RelayMessage): void {
    if (msg.kind === 'waited') this._pausing = false
    if (msg.kind === 'placed' || msg.kind === 'unplaced' || msg.kind === 'moves-again') this._placing = false
    // Left for another one, the silent upstream may have run it.
    if (msg.kind === 'placed' && this.open) this.mayHaveRun = true
    if (msg.kind === 'streaming') this._streams = true
    if (msg.kind === 'unreachable') this.upstreams.delete(this._current)
    if (msg.kind === 'lost' || msg.kind === 'whole' || msg.kind === 'streaming') this.mayHaveRun = true
    if (msg.kind === 'timeout' && this.open) this.mayHaveRun = true
    if (msg.kind === 'held') this._heldBack()
    if (ofExchange.has(msg.kind) && msg.kind !== 'streaming') this.open = false
  }

  /** A request that can't be repeated stays at its upstream, which may still say that it did not run. */
  private _heldBack (): void {
    this._held = true
    if (this.open && this._request.kind !== 'non-idempotent') this.mayHaveRun = true
  }

  saw (effect: RelayEffect): void {
    if (this.final !== undefined) this.violations.push(`${effect.kind} after ${this.final.kind}`)
    if (finals.has(effect.kind)) this.final = effect
    if (effect.kind === 'place') this._looks()
    if (effect.kind === 'wait') this._pausing = true
    if (effect.kind === 'abandon') this.open = false
    if (effect.kind === 'send') this._sent(effect.upstream)
    if (effect.kind === 'fail' && effect.notRun && this.mayHaveRun) this.violations.push('told "not run" of what may have run')
  }

  private _looks (): void {
    if (this._placing || this._pausing) this.violations.push('two searches at once')
    this._placing = true
  }

  private _sent (upstream: string): void {
    this._streams = false
    if (this.open) this.violations.push('two upstreams at once')
    if (this._held) this.violations.push('sent though held back')
    const once = this._request.kind === 'non-idempotent' || (this._request.kind === 'stream' && !this._request.resumable)
    if (once && this.mayHaveRun) this.violations.push('sent again after it may have run')
    this.open = true
    this._current = upstream
    this.upstreams.add(upstream)
    if (this.upstreams.size > this._request.maxAttempts) this.violations.push('sent to too many upstreams')
  }
}

function observe ({ request, messages: list }: Input): Observer {
  const observer = new Observer(request)
  const flow = relayFlow(request, { takeRepeat: () => true, isAllowed: () => true, isQuarantined: () => false })
  let step = flow.next()
  for (const effect of step.value ?? []) observer.saw(effect)
  for (const msg of list) {
    if (observer.final !== undefined) break
    if (!observer.possible(msg)) continue
    observer.heard(msg)
    step = flow.next(msg)
    for (const effect of step.value ?? []) observer.saw(effect)
  }
  return observer
}

function holds (words: string): void {
  fc.assert(fc.property(inputs, input => {
    const broken = observe(input).violations.filter(violation => violation.includes(words))
    assert.deepEqual(broken, [])
  }), { ...propertyOptions, numRuns: 2_000 })
}

Then('for any direct request at most one upstream has it at any time and nothing follows its final answer', () => {
  holds('two upstreams')
  holds('two searches')
  holds(' after ')
})

Then('for any direct request that may run once, nothing is sent after it may have run', () => holds('sent again'))

Then('for any direct request "not run" is told only when it surely did not run', () => holds('told "not run"'))

Then('for any direct request no more upstreams are tried than its route allows', () => holds('too many'))

Then('for any direct request nothing is sent once it is held back', () => holds('held back'))

interface FlowWorld { flow: ReturnType<typeof relayFlow>, effects: readonly RelayEffect[], repeats: number }

function start (world: FlowWorld, request: RelayRequest): void {
  world.repeats = 0
  world.flow = relayFlow(request, {
    takeRepeat: () => {
      world.repeats++
      return true
    },
    isAllowed: () => true,
    isQuarantined: () => false
  })
  world.flow.next()
  tell(world, { kind: 'placed', upstream: 'u1' })
}

function tell (world: FlowWorld, msg: RelayMessage): void { world.effects = world.flow.next(msg).value ?? [] }

Given('a direct booking that may be sent to {int} upstream(s)', function (this: FlowWorld, maxAttempts: number) {
  start(this, { kind: 'non-idempotent', resumable: false, maxAttempts })
})

Given('a direct stock check that may be sent to {int} upstreams', function (this: FlowWorld, maxAttempts: number) {
  start(this, { kind: 'read-only', resumable: false, maxAttempts })
})

When('its upstream takes no connection', function (this: FlowWorld) { tell(this, { kind: 'unreachable' }) })

Then('it is placed again and the budget is untouched', function (this: FlowWorld) {
  assert.equal(this.effects[0]?.kind, 'place')
  tell(this, { kind: 'placed', upstream: 'u2' })
  assert.deepEqual(this.effects, [{ kind: 'send', upstream: 'u2' }])
  assert.equal(this.repeats, 0)
})

When('its upstream refuses for lack of the adapter', function (this: FlowWorld) { tell(this, { kind: 'refused', refusal: 'adapter-missing' }) })

Then('it waits a moment and is placed at the same upstream', function (this: FlowWorld) {
  const waits = this.effects.map(({ kind }) => kind)
  assert.deepEqual(waits, ['wait'])
  tell(this, { kind: 'waited' })
  const [effect] = this.effects
  assert.ok(effect?.kind === 'place' && effect.retryUpstream === 'u1')
})

When('its upstream answers with an error and no other can be had', function (this: FlowWorld) {
  tell(this, { kind: 'whole', failed: true })
  tell(this, { kind: 'unplaced', cause: 'no-upstream' })
})

Then('the error is delivered', function (this: FlowWorld) {
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['deliver', 'finish'])
})

When('its answer has begun and the rest is lost', function (this: FlowWorld) {
  tell(this, { kind: 'streaming' })
  tell(this, { kind: 'lost' })
})

Then('the direct answer is broken', function (this: FlowWorld) {
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['break'])
})

Given('a resumable stream that may be sent to {int} upstreams', function (this: FlowWorld, maxAttempts: number) {
  start(this, { kind: 'stream', resumable: true, maxAttempts })
  tell(this, { kind: 'streaming' })
})

Given('a direct stock check that is held back', function (this: FlowWorld) {
  this.flow = relayFlow({ kind: 'read-only', resumable: false, maxAttempts: 2 }, { takeRepeat: () => true, isAllowed: () => true, isQuarantined: () => true })
  this.effects = this.flow.next().value ?? []
})

When('it is held back while its upstream has it', function (this: FlowWorld) { tell(this, { kind: 'held' }) })

Then('it is refused at once as not run', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'quarantined', notRun: true }])
})

Then('it is taken from its upstream and its caller is told that it may have run', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'abandon' }, { kind: 'fail', failure: 'quarantined', notRun: false }])
})

Then('it stays there, and is not sent on when its upstream refuses it', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [])
  tell(this, { kind: 'refused', refusal: 'full' })
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'quarantined', notRun: true }])
})

When('its upstream stalls and no other can be had', function (this: FlowWorld) {
  tell(this, { kind: 'stalled' })
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['place'])
  tell(this, { kind: 'unplaced', cause: 'adapter-unavailable' })
})

Then('it stays where it is, and ends whole when the upstream goes on', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [])
  tell(this, { kind: 'stream-ended' })
  assert.deepEqual(this.effects.map(({ kind }) => kind), ['finish'])
})

When('its upstream stalls and another can take it', function (this: FlowWorld) {
  tell(this, { kind: 'stalled' })
  tell(this, { kind: 'placed', upstream: 'u2' })
})

Then('it is taken from the first and goes on at the other', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'abandon' }, { kind: 'send', upstream: 'u2' }])
  assert.equal(this.repeats, 1)
})

When('its upstream stalls and breaks off while another is looked for', function (this: FlowWorld) {
  tell(this, { kind: 'stalled' })
  tell(this, { kind: 'lost' })
})

Then('nothing else is looked for, and it goes on where it is placed', function (this: FlowWorld) {
  assert.ok(this.effects.every(({ kind }) => kind === 'abandon'))
  tell(this, { kind: 'placed', upstream: 'u2' })
  assert.deepEqual(this.effects, [{ kind: 'send', upstream: 'u2' }])
})

Given('a direct stock check whose key is withdrawn before it is placed', function (this: FlowWorld) {
  this.flow = relayFlow({ kind: 'read-only', resumable: false, maxAttempts: 2 }, { takeRepeat: () => true, isAllowed: () => false, isQuarantined: () => false })
  this.flow.next()
  tell(this, { kind: 'placed', upstream: 'u1' })
})

Then('it is refused as not run, since its key was withdrawn', function (this: FlowWorld) {
  assert.deepEqual(this.effects, [{ kind: 'fail', failure: 'key-withdrawn', notRun: true }])
})
