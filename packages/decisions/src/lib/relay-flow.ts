/**
 * Decisions for one request that an entry sends to upstreams directly, from its admission to its one answer.
 */
import { assertNever, type Ms } from '@hazelford/core'
import type { RetryCause } from './shared-retry-budget.js'

/** Why an upstream refused a placed request. After each of them the request certainly did not run. */
export type UpstreamRefusal = 'full' | 'other-instance' | 'adapter-missing'

/**
 * Why no upstream can take a request now.
 *
 * - `upstream-limit`: every upstream has reported a request limit, which is used up.
 * - `upstream-rest`: every upstream has refused this entry and asked it to back off for a while.
 * - `software-gone`: no upstream of the software version that began the stream accepts requests.
 * - `origin-unknown`: the software version that began the stream is not known.
 */
export type UnplacedCause = 'no-upstream' | 'adapter-unavailable' | 'upstream-limit' | 'upstream-rest' | 'software-gone' | 'origin-unknown'

/**
 * What of a request is quarantined, because upstreams terminate while running it.
 *
 * - `quarantined`: the request itself.
 * - `part-quarantined`: a part of its prompt, which other requests have too.
 */
export type QuarantineCause = 'quarantined' | 'part-quarantined'

/** Why an entry gives up a request. Log fields and metrics carry it. */
export type RelayFailure =
  | UnplacedCause | 'refused' | 'attempts-spent' | 'budget-spent'
  | 'lost' | 'timeout-unsent' | 'timeout-sent' | 'shutting-down' | QuarantineCause
  /** The caller's key was withdrawn while the request waited. */
  | 'key-withdrawn'

/** The upstream of an exchange; without it, the only one that has the request. */
interface FromUpstream { readonly from?: string }

/** An event of a request. */
export type RelayMessage =
  /** An upstream can take the request now. */
  | { readonly kind: 'placed', readonly upstream: string }
  | { readonly kind: 'unplaced', readonly cause: UnplacedCause }
  | { readonly kind: 'refused', readonly refusal: UpstreamRefusal } & FromUpstream
  /** No connection was made, and nothing was sent. */
  | { readonly kind: 'unreachable' } & FromUpstream
  /** The connection broke, or the upstream became silent, after bytes were sent. */
  | { readonly kind: 'lost' } & FromUpstream
  /** A read has no answer by the time when another upstream could still answer it within the route's latency target. */
  | { readonly kind: 'overdue' }
  /** The upstream has been silent for long, but may continue. */
  | { readonly kind: 'stalled' }
  /** The stalled upstream continued while another one was looked for. */
  | { readonly kind: 'moves-again' }
  /** A complete answer has arrived; `failed` when it is an error of the upstream itself. */
  | { readonly kind: 'whole', readonly failed: boolean } & FromUpstream
  /** The first bytes of an answer that is passed on as it arrives. */
  | { readonly kind: 'streaming' } & FromUpstream
  | { readonly kind: 'stream-ended' }
  | { readonly kind: 'waited' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'caller-gone' }
  /** The request is quarantined from now on: upstreams terminate while running it. */
  | { readonly kind: 'held', readonly cause: QuarantineCause }

/** What the entry must do. */
export type RelayEffect =
  /** Find an upstream outside `avoid`, or use the one named by `retryUpstream`. `beside`: the current upstream goes on. */
  | { readonly kind: 'place', readonly avoid: ReadonlySet<string>, readonly retryUpstream?: string, readonly beside?: true }
  | { readonly kind: 'send', readonly upstream: string }
  /** Send the request to a second upstream, while the first one goes on with it. */
  | { readonly kind: 'send-beside', readonly upstream: string }
  /** Close the connection to the named upstream, or to all, so that they stop working on the request. */
  | { readonly kind: 'abandon', readonly upstream?: string }
  | { readonly kind: 'wait', readonly delay: Ms }
  /** Keep the complete answer that has arrived: it is an error, and another upstream may send a better answer. */
  | { readonly kind: 'hold' }
  /** Pass the answer that has arrived to the caller. */
  | { readonly kind: 'deliver' }
  | { readonly kind: 'finish' }
  /** Nothing was sent to the caller: answer with an error. */
  | { readonly kind: 'fail', readonly failure: RelayFailure, readonly notRun: boolean }
  /** Part of the answer was sent to the caller: break the connection, so that the answer can't look complete. */
  | { readonly kind: 'break', readonly failure: RelayFailure }
  | { readonly kind: 'forget' }

/** Properties of a request that decide about retries. */
export interface RelayRequest {
  readonly kind: 'read-only' | 'non-idempotent' | 'stream'
  readonly resumable: boolean
  /** Number of upstreams that the request may be sent to. */
  readonly maxAttempts: number
}

/** Functions that the entry provides to the decisions. */
export interface RelayDeps {
  /** Takes a retry from the service's budget; false when it is spent. */
  readonly takeRetry: (cause: RetryCause) => boolean
  /** Whether the caller may still send the request. */
  readonly isAllowed: () => boolean
  /** Why the request is quarantined; undefined when it is not. */
  readonly quarantine: () => QuarantineCause | undefined
}

/** Connections that may fail before a request is refused; nothing was sent on them. */
const maxFailedConnections = 6
/**
 * Retries at an upstream that refused the request for lack of its adapter, whose load ends a little later than
 * expected.
 */
const maxAdapterMissingRetries = 3
/** Pause before the request is sent to the same upstream again; about a third of a load from the host's memory. */
const adapterRetryPause: Ms = 15

type Effects = readonly RelayEffect[]

/** The end of an exchange. */
type ExchangeEnd = RelayMessage & { readonly kind: 'refused' | 'unreachable' | 'lost' | 'whole' }

/** Progress of a request. */
class Progress {
  /** Upstreams that bytes of the request may have reached. */
  readonly tried = new Set<string>()
  /** Upstreams that accepted no connection. */
  readonly unreachable = new Set<string>()
  sends = 0
  /** Refusals for lack of the adapter. */
  missing = 0
  /** The upstream that has the request now. */
  current: string | undefined
  /** The second upstream that has the request, beside the current one. */
  beside: string | undefined
  /** Whether a second upstream is looked for while the current one goes on. */
  overdue = false
  /** The upstream to retry at, which lacked the adapter only for a moment. */
  retryUpstream: string | undefined
  /** Whether another upstream is looked for while the current one is silent. */
  stalled = false
  /** Whether an upstream may have worked on the request. */
  mayHaveRun = false
  /** Whether part of an answer was sent to the caller. */
  begun = false
  /** Why the request is quarantined; only its current upstream may still answer it then. */
  held: QuarantineCause | undefined
  /** Whether an upstream's own error has arrived, to be delivered if no other upstream answers. */
  holdsError = false

  /** Upstreams that are excluded from the next placement. */
  get avoid (): ReadonlySet<string> { return new Set([...this.tried, ...this.unreachable]) }
}

function isIdempotent (request: RelayRequest): boolean {
  return request.kind === 'read-only' || (request.kind === 'stream' && request.resumable)
}

/**
 * Stops work at the upstream that no caller waits for. A non-idempotent request is left to run to its end: closing its
 * connection would not undo it.
 */
function abandon (request: RelayRequest, progress: Progress): Effects {
  return progress.current !== undefined && request.kind !== 'non-idempotent' ? [{ kind: 'abandon' }] : []
}

function giveUp (progress: Progress, failure: RelayFailure): Effects {
  if (progress.holdsError) return [{ kind: 'deliver' }, { kind: 'finish' }]
  if (progress.begun) return [{ kind: 'break', failure }]
  return [{ kind: 'fail', failure, notRun: !progress.mayHaveRun }]
}

/** Result of a message; `over` when the last effect is final. */
interface Transition { readonly effects: Effects, readonly over: boolean }

function continueWith (effects: Effects): Transition { return { effects, over: false } }
function endWith (effects: Effects): Transition { return { effects, over: true } }

/**
 * Looks for another upstream while the current one is silent.
 *
 * A full engine pauses streams and continues them later. If the stream were cut off at once and no other upstream had
 * room for it, its caller would get half an answer and a closed connection, although the engine would have continued.
 */
function handleStalled (request: RelayRequest, progress: Progress): Transition {
  if (progress.held !== undefined) return continueWith([])
  if (progress.stalled || progress.overdue || progress.beside !== undefined || progress.current === undefined || !isIdempotent(request) || progress.tried.size >= request.maxAttempts) return continueWith([])
  progress.stalled = true
  return continueWith([{ kind: 'place', avoid: progress.avoid }])
}

/** Moves the request from a silent upstream to one that can take it now. */
function moveTo (upstream: string, progress: Progress, deps: RelayDeps): Transition {
  progress.stalled = false
  if (!deps.takeRetry('failed')) return continueWith([])
  progress.mayHaveRun = true
  progress.tried.add(upstream)
  progress.sends++
  progress.current = upstream
  return continueWith([{ kind: 'abandon' }, { kind: 'send', upstream }])
}

/** Looks for a second upstream for a read that is overdue; the current one goes on with it. */
function handleOverdue (request: RelayRequest, progress: Progress): Transition {
  if (progress.held !== undefined || progress.begun || progress.stalled || progress.overdue) return continueWith([])
  if (request.kind !== 'read-only' || progress.current === undefined || progress.beside !== undefined || progress.tried.size >= request.maxAttempts) return continueWith([])
  progress.overdue = true
  return continueWith([{ kind: 'place', avoid: progress.avoid, beside: true }])
}

function sendBeside (upstream: string, progress: Progress, deps: RelayDeps): Transition {
  progress.overdue = false
  if (progress.begun || progress.tried.has(upstream) || !deps.takeRetry('overdue')) return continueWith([])
  progress.tried.add(upstream)
  progress.sends++
  progress.beside = upstream
  return continueWith([{ kind: 'send-beside', upstream }])
}

/** Removes the search for an upstream from a result, since one runs already. */
function dropPlacing (next: Transition): Transition {
  return next.over ? next : continueWith(next.effects.filter(({ kind }) => kind !== 'place' && kind !== 'wait'))
}

function handlePlaced (upstream: string, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  if (progress.held !== undefined) {
    progress.stalled = false
    progress.overdue = false
    return continueWith([])
  }
  if (progress.overdue) return sendBeside(upstream, progress, deps)
  if (progress.stalled) return moveTo(upstream, progress, deps)
  // Access is checked before the first send only: a request that may have started to run is completed, also at another
  // upstream.
  if (progress.sends === 0 && !deps.isAllowed()) return endWith(giveUp(progress, 'key-withdrawn'))
  if (progress.sends > 0) {
    if (!progress.tried.has(upstream) && progress.tried.size >= request.maxAttempts) return endWith(giveUp(progress, 'attempts-spent'))
    if (!deps.takeRetry('failed')) return endWith(giveUp(progress, 'budget-spent'))
  }
  progress.tried.add(upstream)
  progress.sends++
  progress.current = upstream
  return continueWith([{ kind: 'send', upstream }])
}

function placeElsewhere (request: RelayRequest, progress: Progress, failure: RelayFailure): Transition {
  if (progress.tried.size >= request.maxAttempts) return endWith(giveUp(progress, failure))
  return continueWith([{ kind: 'place', avoid: progress.avoid }])
}

function handleUnreachable (upstream: string, progress: Progress): Transition {
  // Nothing arrived there, so the attempt does not count and the upstream is not among those tried.
  progress.sends--
  progress.tried.delete(upstream)
  progress.unreachable.add(upstream)
  if (progress.unreachable.size > maxFailedConnections) return endWith(giveUp(progress, 'no-upstream'))
  return continueWith([{ kind: 'place', avoid: progress.avoid }])
}

function handleRefused (upstream: string, refusal: UpstreamRefusal, request: RelayRequest, progress: Progress): Transition {
  if (refusal === 'adapter-missing' && ++progress.missing <= maxAdapterMissingRetries) {
    progress.retryUpstream = upstream
    return continueWith([{ kind: 'wait', delay: adapterRetryPause * progress.missing }])
  }
  return placeElsewhere(request, progress, 'refused')
}

function handleLost (request: RelayRequest, progress: Progress): Transition {
  progress.mayHaveRun = true
  // The part of a plain answer that was sent to the caller can't be withdrawn, nor continued at another upstream.
  if (!isIdempotent(request) || (progress.begun && request.kind !== 'stream')) return endWith(giveUp(progress, 'lost'))
  const next = placeElsewhere(request, progress, 'attempts-spent')
  return next.over ? next : continueWith([{ kind: 'abandon' }, ...next.effects])
}

function handleWhole (failed: boolean, request: RelayRequest, progress: Progress): Transition {
  // A stream that continues at another upstream can get an answer of another kind there, such as that upstream's own
  // error. Part of the stream was sent to the caller, so that answer can neither be delivered nor taken for the rest of
  // the stream.
  if (progress.begun) return handleLost(request, progress)
  const deliver: Effects = [{ kind: 'deliver' }, { kind: 'finish' }]
  if (!failed || request.kind !== 'read-only' || progress.tried.size >= request.maxAttempts) return endWith(deliver)
  progress.mayHaveRun = true
  progress.holdsError = true
  return continueWith([{ kind: 'hold' }, { kind: 'place', avoid: progress.avoid }])
}

function handleInterrupted (cause: 'timeout' | 'caller-gone', request: RelayRequest, progress: Progress): Transition {
  const stop = abandon(request, progress)
  if (cause === 'caller-gone') return endWith([...stop, { kind: 'forget' }])
  if (progress.current !== undefined) progress.mayHaveRun = true
  return endWith([...stop, ...giveUp(progress, progress.mayHaveRun ? 'timeout-sent' : 'timeout-unsent')])
}

/**
 * Ends a request that is quarantined, in whatever state it is.
 *
 * If it waits for an upstream, it would terminate that one. If an upstream has it, it may not have started to run, and
 * withdrawing it spares that upstream. A non-idempotent request is left to its upstream: if that one answers, the
 * answer is of use to the caller. So is a stream whose answer has begun with a part that was quarantined since: the part
 * does no harm to an upstream that goes on with it.
 */
function handleQuarantined (cause: QuarantineCause, request: RelayRequest, progress: Progress): Transition {
  progress.held = cause
  const isLeft = request.kind === 'non-idempotent' || (progress.begun && cause === 'part-quarantined')
  if (progress.current !== undefined && isLeft) return continueWith([])
  if (progress.current !== undefined) progress.mayHaveRun = true
  return endWith([...abandon(request, progress), ...giveUp(progress, cause)])
}

function handle (msg: RelayMessage, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  const { current } = progress
  switch (msg.kind) {
    case 'placed': return handlePlaced(msg.upstream, request, progress, deps)
    case 'unplaced':
      if (!progress.stalled && !progress.overdue) return endWith(giveUp(progress, msg.cause))
      progress.stalled = false
      progress.overdue = false
      return continueWith([])
    case 'overdue': return handleOverdue(request, progress)
    case 'stalled': return handleStalled(request, progress)
    case 'moves-again':
      progress.stalled = false
      return continueWith([])
    case 'waited': return continueWith([{ kind: 'place', avoid: progress.avoid, ...(progress.retryUpstream === undefined ? {} : { retryUpstream: progress.retryUpstream }) }])
    case 'timeout':
    case 'caller-gone': return handleInterrupted(msg.kind, request, progress)
    case 'held': return handleQuarantined(msg.cause, request, progress)
    case 'streaming':
      progress.begun = true
      return continueWith([...abandonOther(msg.from, progress), { kind: 'deliver' }])
    case 'stream-ended': return endWith([{ kind: 'finish' }])
  }
  // The exchange has ended; the upstream no longer works on this request.
  if (progress.beside !== undefined) return handleEndOfOne(msg, progress)
  const isPlacing = progress.stalled || progress.overdue
  progress.stalled = false
  progress.overdue = false
  progress.current = undefined
  progress.retryUpstream = undefined
  const next = handleExchangeEnd(msg, current!, request, progress)
  if (progress.held !== undefined && !next.over) return endWith(giveUp(progress, progress.held))
  return isPlacing ? dropPlacing(next) : next
}

/** Leaves the request to the named one of its two upstreams, and stops work at the other. */
function abandonOther (upstream: string | undefined, progress: Progress): Effects {
  const { current, beside } = progress
  if (beside === undefined || current === undefined) return []
  progress.beside = undefined
  progress.current = upstream
  return [{ kind: 'abandon', upstream: upstream === current ? beside : current }]
}

/** Handles the end of an exchange while another upstream has the request as well: only a usable answer ends the request. */
function handleEndOfOne (msg: ExchangeEnd, progress: Progress): Transition {
  const other = msg.from === progress.current ? progress.beside : progress.current
  if (msg.kind === 'whole' && !msg.failed) return endWith([...abandonOther(msg.from, progress), { kind: 'deliver' }, { kind: 'finish' }])
  progress.current = other
  progress.beside = undefined
  switch (msg.kind) {
    case 'unreachable':
      progress.sends--
      progress.tried.delete(msg.from!)
      progress.unreachable.add(msg.from!)
      return continueWith([])
    case 'lost':
      progress.mayHaveRun = true
      return continueWith([])
    case 'whole':
      progress.mayHaveRun = true
      progress.holdsError = true
      return continueWith([{ kind: 'hold' }])
    case 'refused': return continueWith([])
    default: return assertNever(msg)
  }
}

/** Handles the end of an exchange. */
function handleExchangeEnd (msg: ExchangeEnd, upstream: string, request: RelayRequest, progress: Progress): Transition {
  switch (msg.kind) {
    case 'refused': return handleRefused(upstream, msg.refusal, request, progress)
    case 'unreachable': return handleUnreachable(upstream, progress)
    case 'lost': return handleLost(request, progress)
    case 'whole': return handleWhole(msg.failed, request, progress)
    default: return assertNever(msg)
  }
}

/**
 * Runs one request.
 *
 * At most one upstream works on it at any time, and two on a read that is overdue. It is sent to a further upstream only
 * after a refusal that is certain, or when running it twice does no harm.
 *
 * @param request - properties that decide about retries
 * @param deps - budget, access and quarantine
 * @returns generator that takes messages and yields effects; it ends after the one final effect
 */
export function * relayFlow (request: RelayRequest, deps: RelayDeps): Generator<Effects, void, RelayMessage> {
  const progress = new Progress()
  const quarantine = deps.quarantine()
  if (quarantine !== undefined) {
    yield giveUp(progress, quarantine)
    return
  }
  let effects: Effects = [{ kind: 'place', avoid: progress.avoid }]
  for (;;) {
    const next = handle(yield effects, request, progress, deps)
    if (next.over) {
      yield next.effects
      return
    }
    effects = next.effects
  }
}
