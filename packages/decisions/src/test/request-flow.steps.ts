/**
 * Drives the request flow with any sequence of messages and compares each decision with a naive record of the verdicts
 * so far.
 */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import fc from 'fast-check'
import { failure, type Verdict } from '@hazelford/core'
import { type FlowEffect, type FlowMessage, requestFlow } from '../lib/request-flow.js'
import { propertyOptions } from './support/property-options.js'

interface Input { readonly idempotent: boolean, readonly streamed: boolean, readonly messages: readonly FlowMessage[] }

interface Trace {
  readonly effects: readonly FlowEffect[]
  /** Effects that the verdicts so far don't allow. */
  readonly violations: readonly string[]
  readonly final: FlowEffect | undefined
  readonly mayHaveRun: boolean
}

const finals = new Set(['answer-end', 'fail', 'break', 'forget'])
const data = new Uint8Array([1])

function endMessage (verdict: Verdict, failed: boolean): FlowMessage {
  return failed ? { kind: 'end', end: { verdict, failure: failure(verdict, 'upstream-lost', 'x') } } : { kind: 'end', end: { verdict: 'ran' } }
}

const messageArbitrary: fc.Arbitrary<FlowMessage> = fc.oneof(
  fc.constant<FlowMessage>({ kind: 'head', head: { status: 200, headers: [] } }),
  fc.constant<FlowMessage>({ kind: 'chunk', data }),
  fc.constantFrom<Verdict>('not-run', 'may-have-run').map(verdict => endMessage(verdict, true)),
  fc.constant(endMessage('ran', false)),
  fc.constant<FlowMessage>({ kind: 'waited' }),
  fc.constant<FlowMessage>({ kind: 'deadline' }),
  fc.constant<FlowMessage>({ kind: 'withdraw-timeout' }),
  fc.constant<FlowMessage>({ kind: 'caller-gone' })
)

/** Runs the flow and checks every effect against what the verdicts so far allow. */
function trace ({ idempotent, streamed, messages }: Input): Trace {
  const flow = requestFlow({ idempotent, streamed }, { choose: () => 'u', mayComeBack: () => false, takeRetry: () => true, quarantineFailure: () => undefined, remaining: () => 1_000, random: () => 0.5 })
  const effects: FlowEffect[] = []
  const violations: string[] = []
  let open = false
  let mayHaveRun = false
  let answered = false
  let withdrawn = false
  let final: FlowEffect | undefined
  const apply = (step: IteratorResult<readonly FlowEffect[], void>): void => {
    for (const effect of step.value ?? []) {
      effects.push(effect)
      if (final !== undefined) violations.push(`${effect.kind} after ${final.kind}`)
      if (effect.kind === 'send') {
        if (open) violations.push('two attempts at once')
        if (mayHaveRun && !idempotent) violations.push('sent again after it may have run')
        if (answered) violations.push('sent again after the answer began')
        open = true
      }
      if (effect.kind === 'answer-head') answered = true
      if (effect.kind === 'withdraw') withdrawn = true
      if (finals.has(effect.kind)) final = effect
    }
  }
  apply(flow.next())
  for (const msg of messages) {
    // Messages of an attempt arrive only while there is one.
    if (!open && (msg.kind === 'head' || msg.kind === 'chunk' || msg.kind === 'end')) continue
    if (msg.kind === 'end') {
      open = false
      if (msg.end.verdict !== 'not-run') mayHaveRun = true
    }
    // The timeout counts only after a withdraw without an answer.
    if (msg.kind === 'withdraw-timeout' && withdrawn && open) mayHaveRun = true
    const step = flow.next(msg)
    apply(step)
    if (step.done === true || final !== undefined) break
  }
  return { effects, violations, final, mayHaveRun }
}

let inputs: fc.Arbitrary<Input>

Given('any request and any way its attempts end', () => {
  inputs = fc.record({ idempotent: fc.boolean(), streamed: fc.boolean(), messages: fc.array(messageArbitrary, { maxLength: 40 }) })
})

Then('there is one attempt at a time, one final answer, and no retry that the verdict forbids', () => {
  fc.assert(fc.property(inputs, input => { assert.deepEqual(trace(input).violations, []) }), { ...propertyOptions, numRuns: 2_000 })
})

Then('"not run" is answered only when no attempt may have run', () => {
  fc.assert(fc.property(inputs, input => {
    const { final, mayHaveRun } = trace(input)
    if (final?.kind !== 'fail' || !mayHaveRun) return
    assert.notEqual(final.failure.verdict, 'not-run')
  }), { ...propertyOptions, numRuns: 2_000 })
})

let flow: Generator<readonly FlowEffect[], void, FlowMessage>
let last: readonly FlowEffect[] = []

function begin (idempotent: boolean, streamed: boolean): void {
  flow = requestFlow({ idempotent, streamed }, { choose: () => 'u', mayComeBack: () => false, takeRetry: () => true, quarantineFailure: () => undefined, remaining: () => 1_000, random: () => 0 })
  last = flow.next().value ?? []
}

function send (msg: FlowMessage): void { last = flow.next(msg).value ?? [] }

Given('a streamed answer that has begun', () => {
  begin(true, true)
  send({ kind: 'head', head: { status: 200, headers: [] } })
  send({ kind: 'chunk', data })
})

When('the attempt ends with a failure', () => send(endMessage('may-have-run', true)))

Then('the answer is broken visibly and nothing is sent again', () => {
  assert.deepEqual(last.map(effect => effect.kind), ['break'])
  assert.equal(flow.next({ kind: 'waited' }).done, true)
})

Given('a booking at a sidecar', () => begin(false, false))

When('the deadline passes and the sidecar reports that it had started', () => {
  send({ kind: 'deadline' })
  assert.deepEqual(last.map(effect => effect.kind), ['withdraw'])
  send(endMessage('may-have-run', true))
})

When('the deadline passes and the sidecar reports that it had not started', () => {
  begin(false, false)
  send({ kind: 'deadline' })
  send(endMessage('not-run', true))
})

Given('an idempotent request whose first attempt may have run and whose second waits', () => {
  begin(true, false)
  send(endMessage('may-have-run', true))
  send({ kind: 'waited' })
  assert.deepEqual(last.map(effect => effect.kind), ['send'])
})

When('the deadline passes and the sidecar reports that the second had not started', () => {
  send({ kind: 'deadline' })
  send(endMessage('not-run', true))
})

function reportedVerdict (): Verdict {
  const effect = last[0]
  assert.equal(effect?.kind, 'fail')
  return effect.failure.verdict
}

Then('the caller is answered that it may have run', () => assert.equal(reportedVerdict(), 'may-have-run'))
Then('the caller is answered that it did not run', () => assert.equal(reportedVerdict(), 'not-run'))
