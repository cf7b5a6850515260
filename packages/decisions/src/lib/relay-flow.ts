/**
 * Decisions for one request that an entry sends to upstreams directly, from its admission to its one answer.
 */
import { assertNever, type Ms } from '@hazelford/core'
import type { LateCause, QuarantineCause, RelayDeps, RelayEffect, RelayFailure, RelayMessage, RelayRequest, UnplacedCause, UpstreamRefusal } from './relay-messages.js'

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

/**
 * The search for an upstream.
 *
 * - `next`: no upstream has the request; `isReused`: it began while one had it.
 * - `beside`: an upstream has it, and a second one is needed.
 * - `unneeded`: the upstream that has it has continued since, so the result is not used.
 */
type Search =
  | { readonly kind: 'none' | 'unneeded' }
  | { readonly kind: 'next', readonly isReused: boolean }
  | { readonly kind: 'beside', readonly cause: LateCause }

/** Progress of a request. */
class Progress {
  /** Upstreams that bytes of the request may have reached. */
  readonly tried = new Set<string>()
  /** Those of them that may get it again, after a refusal or since it was withdrawn from them. */
  readonly reached = new Set<string>()
  /** Upstreams from which it was withdrawn, since another one went on. */
  readonly withdrawn = new Set<string>()
  /** Upstreams that accepted no connection. */
  readonly unreachable = new Set<string>()
  sends = 0
  /** Refusals for lack of the adapter. */
  missing = 0
  /** The upstream that has the request now. */
  current: string | undefined
  /** The second upstream that has the request, beside the current one, and why. */
  beside: { readonly upstream: string, readonly cause: LateCause } | undefined
  search: Search = { kind: 'none' }
  /** The upstream to retry at, which lacked the adapter only for a moment. */
  retryUpstream: string | undefined
  /** Whether an upstream may have worked on the request. */
  mayHaveRun = false
  /** Whether part of an answer was sent to the caller. */
  begun = false
  /** Why the request is quarantined; only an upstream that has it may still answer it then. */
  held: QuarantineCause | undefined
  /** Whether an upstream's own error has arrived, to be delivered if no other upstream answers. */
  holdsError = false
  /** Whether the entry stops soon. */
  isStopping = false

  /** Upstreams that are excluded from the next placement. */
  get avoid (): ReadonlySet<string> { return new Set([...this.tried, ...this.unreachable]) }
}

function isIdempotent (request: RelayRequest): boolean {
  return request.kind === 'read-only' || (request.kind === 'stream' && request.resumable)
}

/**
 * Stops work at the upstreams that no caller waits for. A non-idempotent request is left to run to its end: closing its
 * connection would not undo it.
 */
function abandon (request: RelayRequest, progress: Progress): Effects {
  return progress.current !== undefined && request.kind !== 'non-idempotent' ? [{ kind: 'abandon' }] : []
}

function giveUp (progress: Progress, failure: RelayFailure): Effects {
  if (progress.begun) return [{ kind: 'break', failure }]
  if (progress.holdsError) return [{ kind: 'deliver' }, { kind: 'finish' }]
  return [{ kind: 'fail', failure, notRun: !progress.mayHaveRun }]
}

/** Result of a message; `over` when the last effect is final. */
interface Transition { readonly effects: Effects, readonly over: boolean }

function continueWith (effects: Effects): Transition { return { effects, over: false } }
function endWith (effects: Effects): Transition { return { effects, over: true } }

/** Looks for the next upstream, among the ones in `only` if that is given, unless a search runs whose result can be used. */
function searchNext (progress: Progress, only?: ReadonlySet<string>): Effects {
  const isSearching = progress.search.kind !== 'none'
  progress.search = { kind: 'next', isReused: isSearching }
  if (isSearching) return []
  const { avoid, retryUpstream } = progress
  return [{ kind: 'place', avoid, ...(only === undefined ? {} : { only }), ...(retryUpstream === undefined ? {} : { retryUpstream }) }]
}

/** Whether an answer of a second upstream could be used. */
function mayHaveSecond (cause: LateCause, request: RelayRequest, { begun, held, tried }: Progress): boolean {
  if (held !== undefined || !isIdempotent(request) || tried.size >= request.maxAttempts) return false
  // The part of a plain answer that was sent to the caller can't be continued at another upstream.
  return request.kind === 'read-only' ? !begun : cause === 'stalled'
}

/**
 * Looks for a second upstream for a request whose upstream is late or silent.
 *
 * That it is silent doesn't show that it has terminated: an engine pauses streams and continues them later. So it keeps
 * the request until another one has sent data; the other one may refuse it, or terminate as well.
 */
function searchBeside (cause: LateCause, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  const { current, beside, search } = progress
  if (current === undefined || beside !== undefined || search.kind === 'next' || search.kind === 'beside') return continueWith([])
  if (!mayHaveSecond(cause, request, progress) || !deps.hasRetry(cause)) return continueWith([])
  progress.search = { kind: 'beside', cause }
  return continueWith(search.kind === 'unneeded' ? [] : [{ kind: 'place', avoid: progress.avoid, beside: cause }])
}

function sendBeside (upstream: string, cause: LateCause, progress: Progress, deps: RelayDeps): Transition {
  if (progress.tried.has(upstream) || !deps.takeRetry(cause)) return continueWith([])
  progress.tried.add(upstream)
  progress.sends++
  progress.beside = { upstream, cause }
  return continueWith([{ kind: 'send-beside', upstream, cause }])
}

function handlePlaced (upstream: string, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  const { search } = progress
  progress.search = { kind: 'none' }
  if (progress.held !== undefined || search.kind === 'unneeded') return continueWith([])
  if (search.kind === 'beside') return sendBeside(upstream, search.cause, progress, deps)
  // Access is checked before the first send only: a request that may have started to run is completed, also at another
  // upstream.
  if (progress.sends === 0 && !deps.isAllowed()) return endWith(giveUp(progress, 'key-withdrawn'))
  if (progress.sends > 0) {
    if (!progress.tried.has(upstream) && progress.tried.size >= request.maxAttempts) return endWith(giveUp(progress, 'attempts-spent'))
    if (!deps.takeRetry('failed')) return endWith(giveUp(progress, 'budget-spent'))
  }
  progress.tried.add(upstream)
  progress.withdrawn.delete(upstream)
  progress.sends++
  progress.current = upstream
  return continueWith([{ kind: 'send', upstream }])
}

function handleUnplaced (cause: UnplacedCause, progress: Progress): Transition {
  const { search } = progress
  progress.search = { kind: 'none' }
  // The search may have ended early since it was not needed, or its time was shorter.
  if (search.kind === 'next' && search.isReused) return continueWith(searchNext(progress))
  return search.kind === 'beside' || search.kind === 'unneeded' ? continueWith([]) : endWith(giveUp(progress, cause))
}

function placeElsewhere (request: RelayRequest, progress: Progress, failure: RelayFailure): Transition {
  const { tried, withdrawn } = progress
  if (tried.size < request.maxAttempts) return continueWith(searchNext(progress))
  return withdrawn.size === 0 ? endWith(giveUp(progress, failure)) : continueWith(searchNext(progress, new Set(withdrawn)))
}

/** Records that nothing arrived at an upstream, so that the attempt does not count, unless an earlier one did arrive. */
function recordUnreachable (upstream: string, progress: Progress, deps: RelayDeps): void {
  progress.sends--
  if (progress.sends > 0) deps.returnRetry()
  if (!progress.reached.has(upstream)) progress.tried.delete(upstream)
  progress.unreachable.add(upstream)
}

function handleUnreachable (upstream: string, progress: Progress, deps: RelayDeps): Transition {
  recordUnreachable(upstream, progress, deps)
  if (progress.unreachable.size > maxFailedConnections) return endWith(giveUp(progress, 'no-upstream'))
  return continueWith(searchNext(progress))
}

function handleRefused (upstream: string, refusal: UpstreamRefusal, request: RelayRequest, progress: Progress): Transition {
  if (refusal === 'adapter-missing' && ++progress.missing <= maxAdapterMissingRetries) {
    if (progress.search.kind !== 'none') return continueWith(searchNext(progress))
    progress.reached.add(upstream)
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
  return continueWith([{ kind: 'hold' }, ...searchNext(progress)])
}

function handleInterrupted (cause: 'timeout' | 'caller-gone' | 'process-end', request: RelayRequest, progress: Progress): Transition {
  const stop = abandon(request, progress)
  if (cause === 'caller-gone') return endWith([...stop, { kind: 'forget' }])
  if (progress.current !== undefined) progress.mayHaveRun = true
  const timeout = progress.mayHaveRun ? 'timeout-sent' : 'timeout-unsent'
  return endWith([...stop, ...giveUp(progress, cause === 'timeout' ? timeout : cause)])
}

/** Refuses a request that no upstream has, so that its caller can send it to another entry while it has time. */
function handleStopping (progress: Progress): Transition {
  progress.isStopping = true
  return progress.current === undefined && !progress.begun ? endWith(giveUp(progress, 'shutting-down')) : continueWith([])
}

/** Why a request that no upstream has any more is not placed again; undefined when it may be. */
function causeToEnd ({ held, isStopping, mayHaveRun }: Progress): RelayFailure | undefined {
  return held ?? (isStopping && !mayHaveRun ? 'shutting-down' : undefined)
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

/** Leaves the request to the named one of its two upstreams, and stops work at the other. */
function abandonOther (upstream: string | undefined, progress: Progress): Effects {
  const { current, beside } = progress
  if (beside === undefined || current === undefined) return []
  const other = upstream === current ? beside.upstream : current
  progress.beside = undefined
  progress.current = upstream
  progress.reached.add(other)
  progress.withdrawn.add(other)
  return [{ kind: 'abandon', upstream: other }]
}

/** Handles data of one upstream: it has the request alone from now on. */
function handleStreaming (upstream: string | undefined, progress: Progress): Transition {
  const stop = abandonOther(upstream, progress)
  if (progress.search.kind === 'beside') progress.search = { kind: 'unneeded' }
  if (progress.begun) return continueWith(stop)
  progress.begun = true
  return continueWith([...stop, { kind: 'deliver' }])
}

/** Handles the end of an exchange while another upstream has the request as well: only a usable answer ends the request. */
function handleEndOfOne (msg: ExchangeEnd, beside: NonNullable<Progress['beside']>, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  if (msg.kind === 'whole' && !msg.failed && !progress.begun) return endWith([...abandonOther(msg.from, progress), { kind: 'deliver' }, { kind: 'finish' }])
  const isFirst = msg.from === progress.current
  progress.beside = undefined
  if (isFirst) progress.current = beside.upstream
  const effects = recordEndOfOne(msg, progress, deps)
  // The first upstream is still silent.
  const needsFurther = !isFirst && beside.cause === 'stalled' && progress.unreachable.size <= maxFailedConnections
  return continueWith(needsFurther ? [...effects, ...searchBeside('stalled', request, progress, deps).effects] : effects)
}

function recordEndOfOne (msg: ExchangeEnd, progress: Progress, deps: RelayDeps): Effects {
  switch (msg.kind) {
    case 'unreachable':
      recordUnreachable(msg.from!, progress, deps)
      return []
    case 'lost':
      progress.mayHaveRun = true
      return []
    case 'whole':
      progress.mayHaveRun = true
      if (progress.begun) return []
      progress.holdsError = true
      return [{ kind: 'hold' }]
    case 'refused': return []
    default: return assertNever(msg)
  }
}

/** Handles the end of the only exchange. */
function handleExchangeEnd (msg: ExchangeEnd, upstream: string, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  switch (msg.kind) {
    case 'refused': return handleRefused(upstream, msg.refusal, request, progress)
    case 'unreachable': return handleUnreachable(upstream, progress, deps)
    case 'lost': return handleLost(request, progress)
    case 'whole': return handleWhole(msg.failed, request, progress)
    default: return assertNever(msg)
  }
}

function handle (msg: RelayMessage, request: RelayRequest, progress: Progress, deps: RelayDeps): Transition {
  switch (msg.kind) {
    case 'placed': return handlePlaced(msg.upstream, request, progress, deps)
    case 'unplaced': return handleUnplaced(msg.cause, progress)
    case 'overdue':
    case 'stalled': return searchBeside(msg.kind, request, progress, deps)
    case 'waited': return continueWith(searchNext(progress))
    case 'timeout':
    case 'caller-gone':
    case 'process-end': return handleInterrupted(msg.kind, request, progress)
    case 'stopping': return handleStopping(progress)
    case 'held': return handleQuarantined(msg.cause, request, progress)
    case 'streaming': return handleStreaming(msg.from, progress)
    case 'stream-ended': return endWith([...abandonOther(msg.from, progress), { kind: 'finish' }])
  }
  const { beside, current } = progress
  if (beside !== undefined) return handleEndOfOne(msg, beside, request, progress, deps)
  // The exchange has ended; the upstream no longer works on this request.
  progress.current = undefined
  progress.retryUpstream = undefined
  const next = handleExchangeEnd(msg, current!, request, progress, deps)
  const cause = causeToEnd(progress)
  return cause !== undefined && !next.over ? endWith(giveUp(progress, cause)) : next
}

/**
 * Runs one request.
 *
 * At most one upstream works on it at any time, and two on an idempotent one that the first of them is late with or
 * silent about. The first data of either of them ends the work at the other. It is sent to a further upstream only after
 * a refusal that is certain, or when running it twice does no harm.
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
  let effects = searchNext(progress)
  for (;;) {
    const next = handle(yield effects, request, progress, deps)
    if (next.over) {
      yield next.effects
      return
    }
    effects = next.effects
  }
}
