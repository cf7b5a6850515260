/**
 * Continuous batching: sequences join and leave the batch between decode steps.
 */

/** A sequence that the engine decodes. */
export interface Sequence {
  readonly id: string
  readonly model: string
  readonly priority: number
  readonly sequenceNumber: number
  /** Whether a client still reads it; an abandoned stream does not count as a request. */
  readonly isRead: () => boolean
  tokensLeft: number
  /** Called with the index of each decoded token. */
  readonly emit: (index: number) => void
  readonly finish: () => void
  emitted: number
}

/** Size of the batch and cost of decoding. */
export interface BatchLimits {
  /** Batch slots: sequences that the engine decodes at once. */
  readonly places: number
  /** Duration in ms of a step with one sequence. */
  readonly stepMs: number
  /** Ms that each further sequence adds to a step. */
  readonly stepMsPerSequence: number
}

/** The batch of one engine. */
export class EngineBatch {
  private _running: Sequence[] = []
  private _waiting: Sequence[] = []
  private _timer: NodeJS.Timeout | undefined
  private _lastStep = 0

  /** Totals over all steps: filled batch slots, steps and tokens. */
  readonly fill = { placesFilled: 0, steps: 0, tokens: 0 }

  constructor (private readonly _limits: BatchLimits) {}

  get running (): number { return this._running.length }
  get waiting (): number { return this._waiting.length }

  add (sequence: Sequence): void {
    this._waiting.push(sequence)
    this._waiting.sort((a, b) => a.priority - b.priority || a.sequenceNumber - b.sequenceNumber)
    this._schedule()
  }

  remove (id: string): void {
    this._running = this._running.filter(sequence => sequence.id !== id)
    this._waiting = this._waiting.filter(sequence => sequence.id !== id)
  }

  clear (): void {
    this._running = []
    this._waiting = []
  }

  /** Ids of the running requests that use a model and that a client still reads. */
  users (model: string): readonly string[] {
    return this._running.filter(sequence => sequence.model === model && sequence.isRead()).map(sequence => sequence.id)
  }

  private _schedule (): void {
    if (this._timer !== undefined) return
    this._fillSlots()
    if (this._running.length === 0) return
    const cost = this._limits.stepMs + this._limits.stepMsPerSequence * (this._running.length - 1)
    // Timers fire late under load, so the next step is scheduled from the time at which this one was due.
    const due = Math.max(performance.now(), this._lastStep + cost)
    const wait = this._lastStep === 0 ? cost : due - performance.now()
    this._timer = setTimeout(() => this._step(), wait)
  }

  private _fillSlots (): void {
    while (this._running.length < this._limits.places && this._waiting.length > 0) {
      this._running.push(this._waiting.shift()!)
    }
  }

  private _step (): void {
    this._timer = undefined
    this._lastStep = performance.now()
    this.fill.steps++
    this.fill.placesFilled += this._running.length
    this.fill.tokens += this._running.length
    for (const sequence of [...this._running]) {
      sequence.emit(sequence.emitted++)
      sequence.tokensLeft--
      if (sequence.tokensLeft > 0) continue
      this.remove(sequence.id)
      sequence.finish()
    }
    this._schedule()
  }
}
