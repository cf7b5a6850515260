/**
 * Runs started requests on the upstream.
 */
import { adapterKey, callDigest, classRank, type EventRing, failure, type Failure, parseTrafficClass } from '@hazelford/core'
import type { AnswerHeader, AnswerSink, PlainClient, EngineClient } from '@hazelford/engine'
import { type Claim, type Claims, keepAnswer, type KeptAnswer } from './claims.js'
import type { AdapterSlots } from './adapter-slots.js'
import type { RequestRun } from './request-run.js'

/** How a run came out of the upstream. */
export interface RunnerEvents {
  /** The request left its place; `ran` when the upstream answered. */
  readonly finished: (run: RequestRun, ran: boolean) => void
  /** The engine lacks the adapter; the request must wait for a load again. */
  readonly notLoaded: (run: RequestRun) => void
  /** The upstream has ended while it had the request, before any of its answer. */
  readonly endedUnder: (run: RequestRun) => void
}

/** Starts requests of one kind. */
export interface UpstreamRunner {
  readonly start: (run: RequestRun) => void
}

/** Sink that passes an answer to the entry. */
function passOn (run: RequestRun, events: RunnerEvents): AnswerSink {
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

/** Whether an answer was lost after its call had been sent. */
function isLost ({ code }: Failure): boolean { return code === 'upstream-lost' || code === 'stream-incomplete' }

/**
 * Whether an engine has ended since a request began there. What a request uses is not unloaded under it: an engine that lacks it
 * has started again. Asked before the request gives its adapter free, after which it may be unloaded.
 */
async function hasEnded (engine: EngineClient, engineName: string): Promise<boolean> {
  const listing = await engine.list()
  return listing.isErr() || !listing.value.names.includes(engineName)
}

/**
 * Runs completions.
 *
 * @param engine - the model engine
 * @param slots - engine-side names
 * @param events - how runs end
 */
export function createModelRunner (engine: EngineClient, slots: AdapterSlots, events: RunnerEvents): UpstreamRunner {
  return {
    start: run => {
      const { request } = run
      const adapter = adapterKey({ name: request.adapter, version: request.version })
      const engineName = slots.nameOf(adapter)
      if (engineName === undefined) return events.notLoaded(run)
      run.state = 'running'
      const sink = passOn(run, events)
      const fail = (cause: Failure): void => {
        if (isLost(cause) && !run.hasAnswered) {
          hasEnded(engine, engineName).then(ended => { if (ended) events.endedUnder(run) }, () => {})
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

const retryWhileRunning = 1_000
const retryWhileDown = 2_000

/** Passes an answer on and keeps it for repeats of its key. */
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
    const answer = keepAnswer(this._status, this._headers, this._chunks)
    // Recorded before the caller hears of it: a repeat through another sidecar after
    // this one died must find the answer that the caller was given.
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

/** Answers a repeat with the first attempt's answer. */
function answerAgain (run: RequestRun, answer: KeptAnswer, events: RunnerEvents): void {
  if (answer.body === undefined) {
    run.end(failure('may-have-run', 'first-attempt-unknown', 'The first attempt ran, but its answer was too large to keep.'))
  } else {
    run.head(answer.status, [...answer.headers, { name: 'idempotency-replayed', value: 'true' }])
    run.data(Buffer.from(answer.body, 'base64'))
    run.end()
  }
  events.finished(run, false)
}

/**
 * Runs calls of a plain service.
 *
 * @param plain - the service
 * @param claims - of this sidecar
 * @param events - how runs end
 * @param timeline - for the time line
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
        // Withdrawn while the claim was on its way: nothing has run, and the key is free again.
        if (run.isWithdrawn) {
          claims.release(outcome.claim)
          return fail(run, failure('not-run', 'withdrawn', 'The request was withdrawn before it ran.'))
        }
        run.state = 'running'
        run.handle = plain.call(callOf(run), new KeyedSink(run, claims, outcome.claim, events))
        return
      case 'answered':
        return answerAgain(run, outcome.answer, events)
      case 'running-here': {
        const answer = await outcome.answer
        if (answer !== undefined) return answerAgain(run, answer, events)
        return fail(run, failure('may-have-run', 'first-attempt-unknown', 'The first attempt with this key began and its end is not known. Ask the service itself.'))
      }
      case 'running-elsewhere':
        return fail(run, failure('may-have-run', 'key-in-use', `The first attempt with this key runs at ${outcome.sidecar}. Repeat with the same key to get its answer.`, retryWhileRunning))
      case 'outcome-unknown':
        return fail(run, failure('may-have-run', 'first-attempt-unknown', 'The first attempt with this key began and its end is not known. Ask the service itself.'))
      case 'other-call':
        return fail(run, failure('not-run', 'key-in-use', 'This Idempotency-Key was used for a different call. Use a new key.'))
      case 'unavailable':
        return fail(run, failure('not-run', 'claims-unavailable', 'Idempotency keys can not be recorded now. Repeat with the same key later.', retryWhileDown))
    }
  }

  return {
    start: run => {
      if (!run.request.idempotent && run.request.idempotencyKey !== '') {
        startKeyed(run).catch((cause: Error) => fail(run, failure('may-have-run', 'internal', cause.message)))
        return
      }
      run.state = 'running'
      run.handle = plain.call(callOf(run), passOn(run, events))
    }
  }
}
