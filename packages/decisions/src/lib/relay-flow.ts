/**
 * The life of one request that an entry sends to upstreams directly.
 */
import { assertNever, type Ms } from '@hazelford/core'

/** Why a placed request was refused by its upstream. Each is a true "not run". */
export type UpstreamRefusal = 'full' | 'other-instance' | 'adapter-missing'

/**
 * Why no upstream can take a request now.
 *
 * - `upstream-limit`: each names a limit on requests, which is used up.
 * - `upstream-rest`: each has turned this entry away and asked to be left alone for a while.
 */
export type UnplacedCause = 'no-upstream' | 'adapter-unavailable' | 'upstream-limit' | 'upstream-rest'

/** Why an entry gives a request up. Logs and metrics name it. */
export type RelayFailure =
  | UnplacedCause | 'refused' | 'attempts-spent' | 'budget-spent'
  | 'lost' | 'timeout-unsent' | 'timeout-sent' | 'shutting-down' | 'quarantined'
  /** The key was withdrawn while the request waited. */
  | 'key-withdrawn'

/** What happens to a request. */
export type RelayMessage =
  /** An upstream can take it now. */
  | { readonly kind: 'placed', readonly upstream: string }
  | { readonly kind: 'unplaced', readonly cause: UnplacedCause }
  | { readonly kind: 'refused', readonly refusal: UpstreamRefusal }
  /** No connection: nothing was sent. */
  | { readonly kind: 'unreachable' }
  /** The connection broke or the upstream fell silent after bytes were sent. */
  | { readonly kind: 'lost' }
  /** The upstream has been silent for long, but may go on. */
  | { readonly kind: 'stalled' }
  /** It went on while another one was looked for. */
  | { readonly kind: 'moves-again' }
  /** A whole answer is at hand; `failed` when it is the upstream's own error. */
  | { readonly kind: 'whole', readonly failed: boolean }
  /** The first bytes of a stream are at hand. */
  | { readonly kind: 'streaming' }
  | { readonly kind: 'stream-ended' }
  | { readonly kind: 'waited' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'caller-gone' }
  /** Upstreams end under this request: it is held back from now on. */
  | { readonly kind: 'held' }

/** What the entry must do. */
export type RelayEffect =
  /** Find an upstream outside `avoid`, or the one named by `again`. */
  | { readonly kind: 'place', readonly avoid: ReadonlySet<string>, readonly retryUpstream?: string }
  | { readonly kind: 'send', readonly upstream: string }
  /** Close the connection to the upstream, so that it stops work. */
  | { readonly kind: 'abandon' }
  | { readonly kind: 'wait', readonly delay: Ms }
  /** Keep the whole answer at hand: it is an error, and a better one may come. */
  | { readonly kind: 'hold' }
  /** Pass the answer at hand on to the caller. */
  | { readonly kind: 'deliver' }
  | { readonly kind: 'finish' }
  /** Nothing has gone to the caller: answer with an error. */
  | { readonly kind: 'fail', readonly failure: RelayFailure, readonly notRun: boolean }
  /** Part of the answer has gone out: break it, so that it can't look whole. */
  | { readonly kind: 'break', readonly failure: RelayFailure }
  | { readonly kind: 'forget' }

/** What bears on repeats. */
export interface RelayRequest {
  readonly kind: 'read-only' | 'non-idempotent' | 'stream'
  readonly resumable: boolean
  /** Upstreams that it may be sent to. */
  readonly maxAttempts: number
}

/** What the decisions ask of the entry. */
export interface RelayDeps {
  /** Takes a repeat from the service's budget. */
  readonly takeRepeat: () => boolean
  /** Whether the request's caller may still send it. */
  readonly isAllowed: () => boolean
  /** Whether the request is held back, since upstreams end under it. */
  readonly isQuarantined: () => boolean
}

/** Connections that may fail before a request is refused; nothing was sent on them. */
const maxFailedConnections = 6
/** Sends to the upstream that said its adapter isn't there yet: the load is a little late. */
const maxAdapterMissingRetries = 3
/** Pause before the same upstream is asked again; about a third of a reload from memory. */
const adapterRetryPause: Ms = 15

type Effects = readonly RelayEffect[]

/** What a request has been through. */
class Progress {
  /** Upstreams that bytes of the request may have reached. */
  readonly tried = new Set<string>()
  /** Upstreams that took no connection. */
  readonly unreachable = new Set<string>()
  sends = 0
  missing = 0
  /** The upstream that has the request now. */
  current: string | undefined
  /** An upstream that only lacked the adapter for a moment. */
  retryUpstream: string | undefined
  /** Whether another upstream is looked for while the current one is silent. */
  stalled = false
  /** Whether an upstream may have worked on the request. */
  mayHaveRun = false
  /** Whether part of an answer has gone to the caller. */
  begun = false
  /** Whether the request is held back, and only its upstream may still answer it. */
  held = false
  /** Whether an upstream's own error is at hand, to be delivered if nothing better comes. */
  holdsError = false

  /** Where not to go next. */
  get avoid (): ReadonlySet<string> { return new Set([...this.tried, ...this.unreachable]) }
}

function isIdempotent (request: RelayRequest): boolean {
  return request.kind === 'read-only' || (request.kind === 'stream' && request.resumable)
}

/**
 * Stops work that nobody waits for any more. A non-idempotent request that runs is left to
 * end: closing its connection would not undo it.
 */
function abandon (request: RelayRequest, progress: Progress): Effects {
  return progress.current !== undefined && request.kind !== 'non-idempotent' ? [{ kind: 'abandon' }] : []
}

function giveUp (progress: Progress, failure: RelayFailure): Effects {
  if (progress.holdsError) return [{ kind: 'deliver' }, { kind: 'finish' }]
  if (progress.begun) return [{ kind: 'break', failure }]
  return [{ kind: 'fail', failure, notRun: !progress.mayHaveRun }]
}

/** What a message leads to; `over` when the last effect is final. */
interface Transition { readonly effects: Effects, readonly over: boolean }

function continueWith (effects: Effects): Transition { return { effects, over: false } }
function endWith (effects: Effects): Transition { return { effects, over: true } }

/**
 * Looks for another upstream while the current one is silent.
 *
 * A full engine lets streams stand still and goes on with them. Cut off at once, one that found no place elsewhere was lost:
 * its caller got half an answer and a closed connection, though the engine would have gone on.
 */
function handleStalled (request: RelayRequest, progress: Progress): Transition {
  if (progress.stalled || progress.current === undefined || !isIdempotent(request) || progress.tried.size >= request.maxAttempts) return continueWith([])
  progress.stalled = true
  return continueWith([{ kind: 'place', avoid: progress.avoid }])
}

/** Leaves a silent upstream for one that can take the request now. */
function moveTo (upstream: string, progress: Progress, deps: RelayDeps): Transition {
  progress.stalled = false
  if (!deps.takeRepeat()) return continueWith([])
  progress.mayHaveRun = true
  progress.tried.add(upstream)
  progress.sends++
  progress.current = upstream
  return continueWith([{ kind: 'abandon' }, { kind: 'send', upstream }])
}

/** What is to be done next, where another upstream is being looked for already. */
function dropPlacing (next: Transition): Transition {
  return next.over ? next : continueWith(next.effects.filter(({ kind }) => kind !== 'place' && kind !== 'wait'))
}

function handlePlaced (upstream: string, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  if (progress.stalled) return moveTo(upstream, progress, deps)
  // What has begun to run is finished, also elsewhere.
  if (progress.sends === 0 && !deps.isAllowed()) return endWith(giveUp(progress, 'key-withdrawn'))
  if (progress.sends > 0) {
    if (!progress.tried.has(upstream) && progress.tried.size >= request.maxAttempts) return endWith(giveUp(progress, 'attempts-spent'))
    if (!deps.takeRepeat()) return endWith(giveUp(progress, 'budget-spent'))
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
  // Nothing arrived there: neither the attempts nor the order of upstreams is touched.
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
  // What has gone out of a plain answer can't be taken back, nor gone on with elsewhere.
  if (!isIdempotent(request) || (progress.begun && request.kind !== 'stream')) return endWith(giveUp(progress, 'lost'))
  const next = placeElsewhere(request, progress, 'attempts-spent')
  return next.over ? next : continueWith([{ kind: 'abandon' }, ...next.effects])
}

function handleWhole (failed: boolean, request: RelayRequest, progress: Progress): Transition {
  // A stream that goes on elsewhere can meet an answer of another kind, such as that upstream's own error.
  // Part of the stream has gone out, so it can neither be delivered nor taken for the rest.
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
 * Ends a request that is held back, wherever it stands.
 *
 * One that waits would end the upstream that it waits for; one that an upstream has may not have begun to run, and then its
 * upstream is spared. One that can't be repeated is left to its upstream: if that answers, the answer is worth having.
 */
function handleQuarantined (request: RelayRequest, progress: Progress): Transition {
  progress.held = true
  if (progress.current !== undefined && request.kind === 'non-idempotent') return continueWith([])
  if (progress.current !== undefined) progress.mayHaveRun = true
  return endWith([...abandon(request, progress), ...giveUp(progress, 'quarantined')])
}

function handle (msg: RelayMessage, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  const { current } = progress
  switch (msg.kind) {
    case 'placed': return handlePlaced(msg.upstream, request, progress, deps)
    case 'unplaced':
      if (!progress.stalled) return endWith(giveUp(progress, msg.cause))
      progress.stalled = false
      return continueWith([])
    case 'stalled': return handleStalled(request, progress)
    case 'moves-again':
      progress.stalled = false
      return continueWith([])
    case 'waited': return continueWith([{ kind: 'place', avoid: progress.avoid, ...(progress.retryUpstream === undefined ? {} : { retryUpstream: progress.retryUpstream }) }])
    case 'timeout':
    case 'caller-gone': return handleInterrupted(msg.kind, request, progress)
    case 'held': return handleQuarantined(request, progress)
    case 'streaming':
      progress.begun = true
      return continueWith([{ kind: 'deliver' }])
    case 'stream-ended': return endWith([{ kind: 'finish' }])
  }
  // The exchange is over; from here on the upstream has nothing of this request.
  const isPlacing = progress.stalled
  progress.stalled = false
  progress.current = undefined
  progress.retryUpstream = undefined
  const next = handleExchangeEnd(msg, current!, request, progress)
  if (progress.held && !next.over) return endWith(giveUp(progress, 'quarantined'))
  return isPlacing ? dropPlacing(next) : next
}

/** What the end of an exchange leads to. */
function handleExchangeEnd (msg: RelayMessage & { readonly kind: 'refused' | 'unreachable' | 'lost' | 'whole' }, upstream: string, request: RelayRequest, progress: Progress): Transition {
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
 * At most one upstream works on it at any time. It goes to a further one only after a true
 * refusal, or when running twice does no harm.
 *
 * @param request - what bears on repeats
 * @param deps - the budget
 * @returns takes messages, yields effects; ends after the one final effect
 */
export function * relayFlow (request: RelayRequest, deps: RelayDeps): Generator<Effects, void, RelayMessage> {
  const progress = new Progress()
  if (deps.isQuarantined()) {
    yield giveUp(progress, 'quarantined')
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
