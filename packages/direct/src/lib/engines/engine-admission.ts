/**
 * Admission control of one engine: admits a request when a batch slot is free and its prompt can be read.
 */
import type { CancelTimer, Clock, Ms } from '@hazelford/core'
import { BatchSlots, type DeferredPrompt, PromptThrottle } from '@hazelford/decisions'

/** What is known of an engine's load. */
export interface EngineLoad {
  /** Number of requests that are running at the engine or wait for admission. */
  readonly running: number
  /** Prompt tokens that the engine has yet to read. */
  readonly promptBacklog: number
  /**
   * Speed of the engine relative to the others of its service, where 1 is the median; undefined from a holder of a version
   * that does not measure it.
   */
  readonly speed?: number
}

/** A request that waits for admission. */
export interface AdmissionRequest {
  readonly entry: string
  readonly request: string
  readonly tokens: number
  /** Priority; 0 is the most urgent. */
  readonly urgency: number
  /** Ms until its first event is due. */
  readonly dueIn: Ms
  /** Organisation that sends the request; undefined without one, and from an entry of a version that does not send it. */
  readonly organisation?: string
}

/** Longest time between two checks of the queue while a batch slot is free. */
const longestCheckPause: Ms = 20
/**
 * Longest time between two checks of the queue while no batch slot is free. Entries report ended requests, so these
 * checks only have to make up for lost reports.
 */
const longestFullCheckPause: Ms = 100

/** A request that waited noticeably because of shares, with the state of the queue when it was admitted. */
export interface Deferral extends DeferredPrompt {
  /** Share of the prompt tokens that its organisation received while the engine was short, 0 to 1. */
  readonly share: number
  readonly queued: number
}

/** Admission queue of one engine, by due time and priority. */
export class EngineAdmission {
  private readonly _throttle = new PromptThrottle()
  private readonly _slots: BatchSlots
  /** Callbacks that admit the queued requests, by their ids in the queue. */
  private readonly _waiting = new Map<string, () => void>()
  private _timer: CancelTimer | undefined

  /**
   * @param slots - requests that the engine runs at once
   * @param _serviceTime - mean service time of a request in ms, 0 when unknown
   * @param _deferred - called when a request is admitted that waited noticeably because of shares
   */
  constructor (private readonly _clock: Clock, slots: number, private readonly _serviceTime: () => Ms, private readonly _deferred: (deferral: Deferral) => void = () => {}) {
    this._slots = new BatchSlots(slots)
  }

  get load (): EngineLoad {
    const now = this._clock.now()
    return { running: this._slots.running(now) + this._throttle.waiting, promptBacklog: this._throttle.backlog(now) }
  }

  /** Number of requests in the queue. */
  get queued (): number { return this._throttle.waiting }

  /** Expected wait of one more request for a batch slot. */
  get slotWait (): Ms { return this._slots.expectedWait(this._throttle.waiting, this._serviceTime(), this._clock.now()) }

  /** Applies an entry's report on the number of its open requests at this engine. */
  recordOpenRequests (entry: string, requests: number): void {
    this._slots.recordReport(entry, requests, this._clock.now())
    this._admitDue()
  }

  /** Applies an entry's report on streams that ended at this engine, and how many of them had too long a pause. */
  recordStreams (streams: number, paused: number): void { this._throttle.adjustSpeed(streams, paused) }

  /** Applies the engine's measured speed, where 1 is that of the others of its service. */
  setSpeed (speed: number): void { this._throttle.setMeasuredSpeed(speed) }

  /**
   * Waits until a request can be admitted.
   *
   * @param answerIn - ms after which the wait is given up
   * @returns whether the request was admitted
   */
  admit ({ entry, request, tokens, urgency, dueIn, organisation }: AdmissionRequest, answerIn: Ms): Promise<boolean> {
    const id = `${entry} ${request}`
    const now = this._clock.now()
    this._throttle.enqueue({ id, tokens, urgency, dueAt: now + dueIn, ...(organisation === undefined ? {} : { organisation }) }, now)
    return new Promise(resolve => {
      const cancel = this._clock.after(answerIn, () => {
        this._waiting.delete(id)
        this._throttle.withdraw(id)
        resolve(false)
      })
      this._waiting.set(id, () => {
        cancel()
        this._waiting.delete(id)
        this._slots.admit(entry, this._clock.now())
        resolve(true)
      })
      this._admitDue()
    })
  }

  private _admitDue (): void {
    const now = this._clock.now()
    const slotWait = this._slots.expectedWait(this._throttle.waiting - 1, this._serviceTime(), now)
    for (const id of this._throttle.admit(now, this._slots.free(now), slotWait)) this._waiting.get(id)?.()
    for (const deferred of this._throttle.takeDeferred()) this._deferred({ ...deferred, share: this._throttle.shareOf(deferred.organisation, now), queued: this.queued })
    const next = this._throttle.nextAdmissionAt(now)
    if (next === undefined || this._timer !== undefined) return
    // Requests that arrive meanwhile may raise the prompt rate, so the next request may be admitted sooner.
    const pause = this._slots.free(now) > 0 ? Math.min(longestCheckPause, Math.max(1, next - now)) : longestFullCheckPause
    this._timer = this._clock.after(pause, () => {
      this._timer = undefined
      this._admitDue()
    })
  }
}
