/**
 * Admission control of one engine: a request is let in when there is a place in the batch and its prompt can be read.
 */
import type { CancelTimer, Clock, Ms } from '@hazelford/core'
import { BatchSlots, PromptThrottle } from '@hazelford/decisions'

/** What is known of an engine's load. */
export interface EngineLoad {
  /** Requests that are there or wait to be let in. */
  readonly running: number
  /** Prompt tokens that are not read yet. */
  readonly promptBacklog: number
}

/** A request that wants to be let in. */
export interface AdmissionRequest {
  readonly entry: string
  readonly request: string
  readonly tokens: number
  /** 0 is the most urgent. */
  readonly urgency: number
  /** Ms until its first event is due. */
  readonly dueIn: Ms
}

/** How long the queue stands before it is looked at again. */
const longestWait: Ms = 20
/** The same while no place is free: ends are told, and only a lost word shows by time alone. */
const longestFullWait: Ms = 100

/** Queue of one engine, by due time and urgency. */
export class EngineAdmission {
  private readonly _pacer = new PromptThrottle()
  private readonly _places: BatchSlots
  /** Lets a request of the queue in, by its id there. */
  private readonly _waiting = new Map<string, () => void>()
  private _timer: CancelTimer | undefined

  /**
   * @param slots - requests that the engine runs at once
   * @param _stay - ms that a request stays in its place, as measured; 0 when unknown
   */
  constructor (private readonly _clock: Clock, slots: number, private readonly _stay: () => Ms) {
    this._places = new BatchSlots(slots)
  }

  get load (): EngineLoad {
    const now = this._clock.now()
    return { running: this._places.running(now) + this._pacer.waiting, promptBacklog: this._pacer.backlog(now) }
  }

  /** Requests in the queue. */
  get queued (): number { return this._pacer.waiting }

  /** Expected wait of one more request for a place in the batch. */
  get slotWait (): Ms { return this._places.expectedWait(this._pacer.waiting, this._stay(), this._clock.now()) }

  /** Takes an entry's word on its open requests there. */
  note (entry: string, requests: number): void {
    this._places.note(entry, requests, this._clock.now())
    this._open()
  }

  /** Takes an entry's word on streams that ended there, and how many of them paused for too long. */
  recordStreams (streams: number, paused: number): void { this._pacer.adjustSpeed(streams, paused) }

  /**
   * Waits until a request can be let in.
   *
   * @param answerIn - ms after which the wait is given up
   * @returns whether it was let in
   */
  admit ({ entry, request, tokens, urgency, dueIn }: AdmissionRequest, answerIn: Ms): Promise<boolean> {
    const id = `${entry} ${request}`
    const now = this._clock.now()
    this._pacer.enqueue({ id, tokens, urgency, dueAt: now + dueIn }, now)
    return new Promise(resolve => {
      const cancel = this._clock.after(answerIn, () => {
        this._waiting.delete(id)
        this._pacer.withdraw(id)
        resolve(false)
      })
      this._waiting.set(id, () => {
        cancel()
        this._waiting.delete(id)
        this._places.admit(entry, this._clock.now())
        resolve(true)
      })
      this._open()
    })
  }

  private _open (): void {
    const now = this._clock.now()
    for (const id of this._pacer.admit(now, this._places.free(now))) this._waiting.get(id)?.()
    const next = this._pacer.nextAdmissionAt(now)
    if (next === undefined || this._timer !== undefined) return
    // Who comes meanwhile may raise the rate, so that the next can be let in sooner.
    const pause = this._places.free(now) > 0 ? Math.min(longestWait, Math.max(1, next - now)) : longestFullWait
    this._timer = this._clock.after(pause, () => {
      this._timer = undefined
      this._open()
    })
  }
}
