/**
 * The life of one request at an entry, from its first attempt to its one answer.
 */
import { assertNever, failure, type Failure, type FailureCode, mayResend, type Ms, type Verdict } from '@hazelford/core'
import { fullJitter } from './retry-budget.js'

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number
  readonly headers: readonly { readonly name: string, readonly value: string }[]
}

/** How an attempt ended at the sidecar. */
export interface AttemptEnd {
  readonly verdict: Verdict
  /** Undefined when the answer is whole. */
  readonly failure?: Failure
}

/** What happens to a request. */
export type FlowMessage =
  | { readonly kind: 'head', readonly head: AnswerHead }
  | { readonly kind: 'chunk', readonly data: Uint8Array }
  | { readonly kind: 'end', readonly end: AttemptEnd }
  | { readonly kind: 'waited' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'withdraw-timeout' }
  | { readonly kind: 'caller-gone' }

/** What the entry must do. */
export type FlowEffect =
  | { readonly kind: 'send', readonly upstream: string }
  | { readonly kind: 'withdraw', readonly reason: 'deadline' | 'caller-gone' }
  | { readonly kind: 'answer-head', readonly head: AnswerHead }
  | { readonly kind: 'answer-chunk', readonly data: Uint8Array }
  | { readonly kind: 'answer-end' }
  /** Nothing was answered yet: an error response. */
  | { readonly kind: 'fail', readonly failure: Failure }
  /** The answer has begun: break it so that the caller notices. */
  | { readonly kind: 'break', readonly failure: Failure }
  | { readonly kind: 'wait', readonly delay: Ms }
  | { readonly kind: 'forget' }

/** What the decisions need to know of a request. */
export interface FlowRequest {
  readonly idempotent: boolean
  /** Answers with server-sent events go out as they come; others when whole. */
  readonly streamed: boolean
}

/** What the decisions ask of the entry. */
export interface FlowDeps {
  /** Picks the upstream for the next attempt. */
  readonly choose: (tried: ReadonlySet<string>) => string | undefined
  /** Whether an upstream that can't be reached now is likely to be back soon. */
  readonly mayComeBack: () => boolean
  /** Takes a retry from the service's budget. */
  readonly takeRetry: () => boolean
  /** Why the request is held back, since upstreams end under it; undefined when it is not. */
  readonly quarantineFailure: () => Failure | undefined
  /** Ms until the deadline. */
  readonly remaining: () => Ms
  readonly random: () => number
}

const maxAttempts = 4
const backoff = { base: 20, cap: 500 }
/** Bytes of an unstreamed answer held back, so that a broken one can be retried. */
const maxBufferedBytes = 256 * 1024
/** Chunks held back; it must stay under the credit, or the sidecar would wait for ever. */
const maxBufferedChunks = 32
/** Pauses while every upstream is out of reach but one may come back. */
const maxPauses = 20
const reconnectPause: Ms = 100
const noUpstreamRetryAfter: Ms = 1_000
const deadlineRetryAfter: Ms = 500

/** Refusals that say nothing of load: moving on from them costs no retry budget. */
const unbudgetedRetries: ReadonlySet<FailureCode> = new Set(['leaving'])

/** Collects an answer until it is certain that it will be whole. */
class BufferedAnswer {
  private _head: AnswerHead | undefined
  private _chunks: Uint8Array[] = []
  private _bytes = 0

  /** Whether a byte has gone to the caller, after which no retry is possible. */
  begun = false

  constructor (private readonly _streamed: boolean) {}

  addHead (head: AnswerHead): readonly FlowEffect[] {
    this._head = head
    return this._streamed ? this.flush() : []
  }

  addChunk (data: Uint8Array): readonly FlowEffect[] {
    if (this.begun) return [{ kind: 'answer-chunk', data }]
    this._chunks.push(data)
    this._bytes += data.length
    return this._bytes > maxBufferedBytes || this._chunks.length >= maxBufferedChunks ? this.flush() : []
  }

  /** Lets go of what is held. */
  flush (): readonly FlowEffect[] {
    if (this.begun || this._head === undefined) return []
    this.begun = true
    const chunks = this._chunks.map((data): FlowEffect => ({ kind: 'answer-chunk', data }))
    return [{ kind: 'answer-head', head: this._head }, ...chunks]
  }

  reset (): void {
    this._head = undefined
    this._chunks = []
    this._bytes = 0
  }
}

type AttemptResult =
  | { readonly kind: 'done', readonly effects: readonly FlowEffect[] }
  | { readonly kind: 'failed', readonly failure: Failure }

function finalFailure (answer: BufferedAnswer, cause: Failure): readonly FlowEffect[] {
  return [{ kind: answer.begun ? 'break' : 'fail', failure: cause }]
}

/** After the deadline the sidecar's word decides what the caller is told. */
function deadlineFailure (end: AttemptEnd | undefined): Failure {
  const notRun = end !== undefined && end.verdict === 'not-run'
  return notRun
    ? failure('not-run', 'deadline', 'The deadline passed before the request ran. Send it again with a later deadline.', deadlineRetryAfter)
    : failure('may-have-run', 'deadline', 'The deadline passed while the request ran. Repeat it only if it is idempotent, or with the same Idempotency-Key.')
}

/** Waits for the sidecar's answer to a withdraw. */
function * settleWithdraw (answer: BufferedAnswer, worst: Verdict): Generator<readonly FlowEffect[], AttemptResult, FlowMessage> {
  let effects: readonly FlowEffect[] = [{ kind: 'withdraw', reason: 'deadline' }]
  for (;;) {
    const msg = yield effects
    effects = []
    switch (msg.kind) {
      case 'end':
        if (msg.end.failure === undefined) return { kind: 'done', effects: [...answer.flush(), { kind: 'answer-end' }] }
        return { kind: 'done', effects: finalFailure(answer, correctVerdict(deadlineFailure(msg.end), worst)) }
      case 'withdraw-timeout':
        return { kind: 'done', effects: finalFailure(answer, deadlineFailure(undefined)) }
      case 'caller-gone':
        return { kind: 'done', effects: [{ kind: 'forget' }] }
      case 'head':
        effects = answer.addHead(msg.head)
        break
      case 'chunk':
        effects = answer.addChunk(msg.data)
        break
      case 'deadline':
      case 'waited':
        break
      default: assertNever(msg)
    }
  }
}

/** One attempt, from its dispatch to its end; `worst` is the verdict of those before. */
function * attempt (upstream: string, answer: BufferedAnswer, worst: Verdict): Generator<readonly FlowEffect[], AttemptResult, FlowMessage> {
  let effects: readonly FlowEffect[] = [{ kind: 'send', upstream }]
  for (;;) {
    const msg = yield effects
    effects = []
    switch (msg.kind) {
      case 'head':
        effects = answer.addHead(msg.head)
        break
      case 'chunk':
        effects = answer.addChunk(msg.data)
        break
      case 'end':
        if (msg.end.failure !== undefined) return { kind: 'failed', failure: msg.end.failure }
        return { kind: 'done', effects: [...answer.flush(), { kind: 'answer-end' }] }
      case 'deadline':
        return yield * settleWithdraw(answer, worst)
      case 'caller-gone':
        return { kind: 'done', effects: [{ kind: 'withdraw', reason: 'caller-gone' }, { kind: 'forget' }] }
      case 'waited':
      case 'withdraw-timeout':
        break
      default: assertNever(msg)
    }
  }
}

/** Waits out a backoff. Nothing is dispatched meanwhile, so the request has not run. */
function * pause (delay: Ms): Generator<readonly FlowEffect[], 'go-on' | 'deadline' | 'caller-gone', FlowMessage> {
  let effects: readonly FlowEffect[] = [{ kind: 'wait', delay }]
  for (;;) {
    const msg = yield effects
    effects = []
    if (msg.kind === 'waited') return 'go-on'
    if (msg.kind === 'deadline' || msg.kind === 'caller-gone') return msg.kind
  }
}

function noUpstream (): Failure {
  return failure('not-run', 'no-upstream', 'No upstream of this service takes work now. Send the request again later.', noUpstreamRetryAfter)
}

/**
 * Runs one request.
 *
 * There is at most one attempt at any time, and a further one only when the verdict
 * on the last allows it and no byte of an answer has gone out.
 *
 * @param request - what bears on retries
 * @param deps - choice, budget, time and chance
 * @returns takes messages, yields effects; ends after the one final effect
 */
export function * requestFlow (request: FlowRequest, deps: FlowDeps): Generator<readonly FlowEffect[], void, FlowMessage> {
  const answer = new BufferedAnswer(request.streamed)
  const tried = new Set<string>()
  let last: Failure | undefined
  let worst: Verdict = 'not-run'

  for (let attempts = 1, pauses = 0; ; attempts++) {
    const quarantined = deps.quarantineFailure()
    if (quarantined !== undefined) {
      yield finalFailure(answer, correctVerdict(quarantined, worst))
      return
    }
    const upstream = deps.choose(tried)
    if (upstream === undefined) {
      if (!deps.mayComeBack() || ++pauses > maxPauses || deps.remaining() <= 0) {
        yield finalFailure(answer, correctVerdict(last ?? noUpstream(), worst))
        return
      }
      attempts--
      const outcome = yield * pause(Math.min(reconnectPause, deps.remaining()))
      if (outcome === 'go-on') continue
      yield interruptedEffects(outcome, answer, worst)
      return
    }
    tried.add(upstream)
    const result: AttemptResult = yield * attempt(upstream, answer, worst)
    if (result.kind === 'done') {
      yield result.effects
      return
    }
    last = result.failure
    if (last.verdict !== 'not-run') worst = last.verdict
    if (answer.begun || !mayRetry(last, attempts, request, deps)) {
      yield finalFailure(answer, correctVerdict(last, worst))
      return
    }
    answer.reset()
    const delay = unbudgetedRetries.has(last.code) ? 0 : fullJitter(attempts, backoff, deps.random)
    const outcome = yield * pause(Math.min(delay, deps.remaining()))
    if (outcome === 'go-on') continue
    yield interruptedEffects(outcome, answer, worst)
    return
  }
}

/** Ends a request whose deadline or caller went while nothing was dispatched. */
function interruptedEffects (outcome: 'deadline' | 'caller-gone', answer: BufferedAnswer, worst: Verdict): readonly FlowEffect[] {
  if (outcome === 'caller-gone') return [{ kind: 'forget' }]
  return finalFailure(answer, correctVerdict(deadlineFailure({ verdict: 'not-run' }), worst))
}

function mayRetry (cause: Failure, attempts: number, request: FlowRequest, deps: FlowDeps): boolean {
  if (!mayResend(cause.verdict, request.idempotent)) return false
  if (cause.code === 'withdrawn' || cause.code === 'key-in-use' || cause.code === 'first-attempt-unknown') return false
  if (attempts >= maxAttempts || deps.remaining() <= 0) return false
  return unbudgetedRetries.has(cause.code) || deps.takeRetry()
}

/**
 * Corrects the verdict for the whole request.
 *
 * An idempotent request may end with an attempt that did not run after one that may
 * have. Telling the caller `not-run` from the last attempt alone would be untrue.
 */
function correctVerdict (cause: Failure, worst: Verdict): Failure {
  return cause.verdict === 'not-run' && worst !== 'not-run' ? { ...cause, verdict: 'may-have-run' } : cause
}
