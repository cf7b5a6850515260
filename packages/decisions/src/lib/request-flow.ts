/**
 * Decisions for one request at an entry with sidecars, from its first attempt to its one answer.
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
  /** Undefined when the answer is complete. */
  readonly failure?: Failure
}

/** An event of a request. */
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
  /** Nothing was answered yet: send an error response. */
  | { readonly kind: 'fail', readonly failure: Failure }
  /** Part of the answer was sent: break it, so that the caller notices. */
  | { readonly kind: 'break', readonly failure: Failure }
  | { readonly kind: 'wait', readonly delay: Ms }
  | { readonly kind: 'forget' }

/** Properties of a request that the decisions depend on. */
export interface FlowRequest {
  readonly idempotent: boolean
  /**
   * Whether the answer is passed on as it arrives, as server-sent events are; other answers are passed on when
   * complete.
   */
  readonly streamed: boolean
}

/** Functions that the entry provides to the decisions. */
export interface FlowDeps {
  /** Chooses the upstream for the next attempt. */
  readonly choose: (tried: ReadonlySet<string>) => string | undefined
  /** Whether an upstream that can't be reached now is likely to be back soon. */
  readonly mayComeBack: () => boolean
  /** Takes a retry from the service's budget; false when it is spent. */
  readonly takeRetry: () => boolean
  /**
   * Failure of a request that is quarantined, because upstreams terminate while running it; undefined when it is not.
   */
  readonly quarantineFailure: () => Failure | undefined
  /** Ms until the deadline. */
  readonly remaining: () => Ms
  readonly random: () => number
}

const maxAttempts = 4
const backoff = { base: 20, cap: 500 }
/** Bytes of an unstreamed answer that are buffered, so that a broken answer can be retried. */
const maxBufferedBytes = 256 * 1024
/**
 * Chunks that are buffered. It must be lower than the channel's flow-control credit, or the sidecar would wait for
 * ever.
 */
const maxBufferedChunks = 32
/** Most pauses of one request while no upstream can be reached but one may come back. */
const maxPauses = 20
const reconnectPause: Ms = 100
const noUpstreamRetryAfter: Ms = 1_000
const deadlineRetryAfter: Ms = 500

/** Refusals that are unrelated to load: a retry after one of them takes nothing from the retry budget. */
const unbudgetedRetries: ReadonlySet<FailureCode> = new Set(['leaving'])

/** Buffers an answer until it is certain to be complete. */
class BufferedAnswer {
  private _head: AnswerHead | undefined
  private _chunks: Uint8Array[] = []
  private _bytes = 0

  /** Whether a byte was sent to the caller, after which no retry is possible. */
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

  /** Passes the buffered part of the answer on. */
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

/** Failure after the deadline; it depends on the sidecar's verdict. */
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

/** Runs one attempt, from its dispatch to its end; `worst` is the verdict of the earlier ones. */
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

/** Waits for a backoff to pass. Nothing is sent meanwhile, so the request does not run. */
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
 * There is at most one attempt at any time. A further one follows only when the verdict on the last attempt allows it
 * and no byte of an answer was sent to the caller.
 *
 * @param request - properties that decide about retries
 * @param deps - choice of upstreams, budget, time and randomness
 * @returns generator that takes messages and yields effects; it ends after the one final effect
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

/** Final effects of a request whose deadline passed, or whose caller left, while no attempt was running. */
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
 * An idempotent request may end with an attempt that did not run after an earlier one that may have run. The verdict
 * `not-run` of the last attempt alone would be false for the request.
 */
function correctVerdict (cause: Failure, worst: Verdict): Failure {
  return cause.verdict === 'not-run' && worst !== 'not-run' ? { ...cause, verdict: 'may-have-run' } : cause
}
