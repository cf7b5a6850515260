/**
 * Continuous batching of an experiment's engine.
 */
import type { EventQueue } from './event-queue.js'

interface Sequence { readonly id: string, left: number, first: boolean }

/** Hears of a sequence's progress. */
export interface BatchEvents {
  readonly firstToken: (id: string) => void
  readonly finished: (id: string) => void
}

/** One batch with its places. */
export class SimBatch {
  private _running: Sequence[] = []
  private _stepping = false
  /** Sum over steps of filled places times their ms, busy ms, and tokens. */
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

  /** The engine restarts; whoever ran is told by the caller. */
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
      for (const sequence of [...this._running]) this._token(sequence)
      this._step()
    })
  }

  private _token (sequence: Sequence): void {
    if (sequence.first) this._events.firstToken(sequence.id)
    sequence.first = false
    sequence.left--
    if (sequence.left > 0) return
    this._running = this._running.filter(other => other !== sequence)
    this._events.finished(sequence.id)
  }
}
