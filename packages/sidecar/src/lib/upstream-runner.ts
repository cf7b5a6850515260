/**
 * Sends requests to the upstream and forwards its answers.
 */
import { adapterKey, callDigest, classRank, type EventRing, failure, type Failure, parseTrafficClass } from '@hazelford/core'
import type { AnswerHeader, AnswerSink, PlainClient, EngineClient } from '@hazelford/engine'
import { type Claim, type Claims, createStoredAnswer, type StoredAnswer } from './claims.js'
import type { AdapterSlots } from './adapter-slots.js'
import type { RequestRun } from './request-run.js'

/** Callbacks that report how a request ended at the upstream. */
export interface RunnerEvents {
  /** The request has freed its batch slot; `ran` when the upstream ran it or may have run it. */
  readonly finished: (run: RequestRun, ran: boolean) => void
  /** The engine does not have the adapter; the request must wait for another load. */
  readonly notLoaded: (run: RequestRun) => void
  /** The upstream terminated while running the request, before it sent any of the answer. */
  readonly interrupted: (run: RequestRun) => void
}

/** Runs requests of one kind of upstream. */
export interface UpstreamRunner {
  readonly start: (run: RequestRun) => void
}

/** Creates a sink that forwards an answer to the entry. */
function createForwardingSink (run: RequestRun, events: RunnerEvents): AnswerSink {
  return {
    head: (status, headers) => run.head(status, headers),
    data: data => run.data(data),
    end: () => {
      run.end()
      events.finished(run, true)
    },
    fail: cause => {
      run.end(cause)
      events.finished(run, cause.verdict !== 'not-run')
    },
    notLoaded: () => events.notLoaded(run)
  }
}

/** Whether the answer was lost after the call had been sent. */
function wasLostAfterSending ({ code }: Failure): boolean { return code === 'upstream-lost' || code === 'stream-incomplete' }

/**
 * Whether an engine has terminated since a request started there. An adapter is not unloaded while a request uses it, so an
 * engine that no longer lists the adapter was restarted; one that does not answer counts as terminated. Called before the
 * request releases the adapter, which may be unloaded after that.
 */
async function hasTerminated (engine: EngineClient, engineName: string): Promise<boolean> {
  const listing = await engine.list()
  return listing.isErr() || !listing.value.names.includes(engineName)
}

/**
 * Creates the runner of completions.
 *
 * @param engine - client of the model engine
 * @param slots - gives the engine-side names of loaded adapters
 * @param events - notified when a run ends
 */
export function createModelRunner (engine: EngineClient, slots: AdapterSlots, events: RunnerEvents): UpstreamRunner {
  return {
    start: run => {
      const { request } = run
      const adapter = adapterKey({ name: request.adapter, version: request.version })
      const engineName = slots.nameOf(adapter)
      if (engineName === undefined) return events.notLoaded(run)
      run.state = 'running'
      const sink = createForwardingSink(run, events)
      const fail = (cause: Failure): void => {
        if (wasLostAfterSending(cause) && !run.hasAnswered) {
          hasTerminated(engine, engineName).then(terminated => { if (terminated) events.interrupted(run) }, () => {})
        }
        sink.fail(cause)
      }
      run.handle = engine.complete({
        id: run.id,
        path: request.path,
        body: request.body,
        engineName,
        publicName: adapter,
        priority: classRank(parseTrafficClass(request.trafficClass) ?? 'interactive')
      }, { ...sink, fail })
    }
  }
}

const retryAfterWhileRunning = 1_000
const retryAfterWhileDown = 2_000

/** Collects the answer to a call with an idempotency key, records it for repeats, then forwards it. */
class KeyedSink implements AnswerSink {
  private _status = 0
  private _headers: readonly AnswerHeader[] = []
  private readonly _chunks: Uint8Array[] = []

  constructor (
    private readonly _run: RequestRun,
    private readonly _claims: Claims,
    private readonly _claim: Claim,
    private readonly _events: RunnerEvents
  ) {}

  head = (status: number, headers: readonly AnswerHeader[]): void => {
    this._status = status
    this._headers = headers
  }

  data = (data: Uint8Array): void => { this._chunks.push(data) }

  end = (): void => {
    const answer = createStoredAnswer(this._status, this._headers, this._chunks)
    // Recorded before the caller receives it: after a crash of this sidecar, a repeat through
    // another one must find the answer that the caller received.
    this._claims.settle(this._claim, answer).then(() => {
      this._run.head(this._status, this._headers)
      for (const chunk of this._chunks) this._run.data(chunk)
      this._run.end()
      this._events.finished(this._run, true)
    }, () => {})
  }

  fail = (cause: ReturnType<typeof failure>): void => {
    if (cause.verdict === 'not-run') this._claims.release(this._claim)
    else this._claims.markOutcomeUnknown(this._claim)
    this._run.end(cause)
    this._events.finished(this._run, cause.verdict !== 'not-run')
  }

  notLoaded = (): void => {}
}

/** Answers a repeated call with the answer of the first attempt. */
function replayAnswer (run: RequestRun, answer: StoredAnswer, events: RunnerEvents): void {
  if (answer.body === undefined) {
    run.end(failure('may-have-run', 'first-attempt-unknown', 'The first attempt ran, but its answer was too large to store.'))
  } else {
    run.head(answer.status, [...answer.headers, { name: 'idempotency-replayed', value: 'true' }])
    run.data(Buffer.from(answer.body, 'base64'))
    run.end()
  }
  events.finished(run, false)
}

/**
 * Creates the runner of calls to a plain service.
 *
 * @param plain - client of the service
 * @param claims - claims on idempotency keys
 * @param events - notified when a run ends
 * @param timeline - records the outcomes of claims
 */
export function createPlainRunner (plain: PlainClient, claims: Claims, events: RunnerEvents, timeline: EventRing): UpstreamRunner {
  const callOf = (run: RequestRun): Parameters<PlainClient['call']>[0] => {
    const { method, path, headers, body } = run.request
    return { method, path, headers, body }
  }

  function fail (run: RequestRun, cause: ReturnType<typeof failure>): void {
    run.end(cause)
    events.finished(run, false)
  }

  async function startKeyed (run: RequestRun): Promise<void> {
    const { method, path, body, idempotencyKey } = run.request
    run.state = 'claiming'
    const outcome = await claims.claim(idempotencyKey, callDigest(method, path, body))
    timeline.add('claim', { request: run.request.id, note: outcome.kind })
    switch (outcome.kind) {
      case 'taken':
        // Withdrawn while the key was being claimed: the call has not run, so the key is released.
        if (run.isWithdrawn) {
          claims.release(outcome.claim)
          return fail(run, failure('not-run', 'withdrawn', 'The request was withdrawn before it ran.'))
        }
        run.state = 'running'
        run.handle = plain.call(callOf(run), new KeyedSink(run, claims, outcome.claim, events))
        return
      case 'answered':
        return replayAnswer(run, outcome.answer, events)
      case 'running-here': {
        const answer = await outcome.answer
        if (answer !== undefined) return replayAnswer(run, answer, events)
        return fail(run, failure('may-have-run', 'first-attempt-unknown', 'The first attempt with this key began and its outcome is unknown. Ask the service itself.'))
      }
      case 'running-elsewhere':
        return fail(run, failure('may-have-run', 'key-in-use', `The first attempt with this key runs at ${outcome.sidecar}. Repeat with the same key to get its answer.`, retryAfterWhileRunning))
      case 'outcome-unknown':
        return fail(run, failure('may-have-run', 'first-attempt-unknown', 'The first attempt with this key began and its outcome is unknown. Ask the service itself.'))
      case 'other-call':
        return fail(run, failure('not-run', 'key-in-use', 'This Idempotency-Key was used for a different call. Use a new key.'))
      case 'unavailable':
        return fail(run, failure('not-run', 'claims-unavailable', 'Idempotency keys cannot be recorded now. Repeat with the same key later.', retryAfterWhileDown))
    }
  }

  return {
    start: run => {
      if (!run.request.idempotent && run.request.idempotencyKey !== '') {
        startKeyed(run).catch((cause: Error) => fail(run, failure('may-have-run', 'internal', cause.message)))
        return
      }
      run.state = 'running'
      run.handle = plain.call(callOf(run), createForwardingSink(run, events))
    }
  }
}
