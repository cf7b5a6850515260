/**
 * Simulates the continuous batching of an engine.
 */
import type { EventQueue } from './event-queue.js'

interface Sequence { readonly id: string, left: number, first: boolean }

/** Callbacks for a sequence's progress. */
export interface BatchEvents {
  readonly firstToken: (id: string) => void
  readonly finished: (id: string) => void
}

/** The batch of one simulated engine. */
export class SimBatch {
  private _running: Sequence[] = []
  private _stepping = false
  /** Totals over all steps: filled batch slots times the step's ms, busy ms, and tokens. */
  readonly fill = { filledMs: 0, busyMs: 0, tokens: 0 }

  constructor (
    private readonly _queue: EventQueue,
    private readonly _stepMs: number,
    private readonly _stepMsPerSequence: number,
    private readonly _events: BatchEvents
  ) {}

  get running (): number { return this._running.length }

  start (id: string, tokens: number): void {
    this._running.push({ id, left: tokens, first: true })
    this._step()
  }

  /** Empties the batch for a restart and returns the ids of its requests, for the caller to retry. */
  clear (): readonly string[] {
    const ids = this._running.map(sequence => sequence.id)
    this._running = []
    return ids
  }

  private _step (): void {
    if (this._stepping || this._running.length === 0) return
    this._stepping = true
    const count = this._running.length
    const took = this._stepMs + this._stepMsPerSequence * (count - 1)
    this._queue.after(took, () => {
      this._stepping = false
      this.fill.busyMs += took
      this.fill.filledMs += took * count
      this.fill.tokens += count
      for (const sequence of [...this._running]) this._emitToken(sequence)
      this._step()
    })
  }

  private _emitToken (sequence: Sequence): void {
    if (sequence.first) this._events.firstToken(sequence.id)
    sequence.first = false
    sequence.left--
    if (sequence.left > 0) return
    this._running = this._running.filter(other => other !== sequence)
    this._events.finished(sequence.id)
  }
}
