/**
 * An event queue with a simulated clock, for experiments with the pure decisions.
 */

interface Scheduled { readonly at: number, readonly sequenceNumber: number, readonly run: () => void }

/** Binary heap of events, by time and then by sequence of scheduling. */
export class EventQueue {
  private readonly _heap: Scheduled[] = []
  private _nextSequenceNumber = 0
  private _now = 0

  /** Simulated time in ms. */
  get now (): number { return this._now }

  /** Schedules a function after a delay in ms. */
  after (delay: number, run: () => void): void {
    this._push({ at: this._now + Math.max(0, delay), sequenceNumber: this._nextSequenceNumber++, run })
  }

  /** Runs all events up to a time. */
  runUntil (end: number): void {
    for (let next = this._heap[0]; next !== undefined && next.at <= end; next = this._heap[0]) {
      this._pop()
      this._now = next.at
      next.run()
    }
    this._now = end
  }

  private _before (a: Scheduled, b: Scheduled): boolean {
    return a.at < b.at || (a.at === b.at && a.sequenceNumber < b.sequenceNumber)
  }

  private _push (item: Scheduled): void {
    const heap = this._heap
    heap.push(item)
    for (let i = heap.length - 1; i > 0;) {
      const parent = (i - 1) >> 1
      if (!this._before(heap[i]!, heap[parent]!)) break
      this._swap(i, parent)
      i = parent
    }
  }

  private _pop (): void {
    const heap = this._heap
    const last = heap.pop()!
    if (heap.length === 0) return
    heap[0] = last
    for (let i = 0; ;) {
      let least = i
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < heap.length && this._before(heap[child]!, heap[least]!)) least = child
      }
      if (least === i) return
      this._swap(i, least)
      i = least
    }
  }

  private _swap (a: number, b: number): void {
    const kept = this._heap[a]!
    this._heap[a] = this._heap[b]!
    this._heap[b] = kept
  }
}
