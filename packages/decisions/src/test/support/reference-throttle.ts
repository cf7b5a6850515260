/**
 * The sequence in which prompts were admitted before organisations were taken into account, written plainly.
 */
import type { QueuedPrompt } from '../../lib/prompt-throttle.js'

const maxRate = 35 * 0.75
const normalRate = 35 * 0.65

/** Admits prompts by due time, or by priority once the rate that is needed is high. */
export class ReferenceThrottle {
  private _queue: QueuedPrompt[] = []
  private _unread = 0
  private _at = 0
  private _rate = normalRate

  enqueue (prompt: QueuedPrompt): void { this._queue.push(prompt) }

  admit (now: number, batchSlots: number): readonly string[] {
    this._unread = Math.max(0, this._unread - (now - this._at) * this._rate)
    this._at = now
    const late = ({ tokens, dueAt }: QueuedPrompt): number => Number(now + tokens / maxRate + 60 > dueAt)
    const start = ({ tokens, dueAt, urgency }: QueuedPrompt): number => dueAt - tokens / maxRate + urgency * 200
    let queue = [...this._queue].sort((a, b) => late(a) - late(b) || start(a) - start(b))
    if (this._needed(queue, late, now) > maxRate * 0.7) queue = queue.sort((a, b) => a.urgency - b.urgency || late(a) - late(b) || a.dueAt - b.dueAt)
    this._rate = Math.min(maxRate, Math.max(normalRate, this._needed(queue, late, now)))
    const admitted: string[] = []
    for (const prompt of queue) {
      if (admitted.length >= batchSlots || this._unread > Math.max(0, 1_500 - prompt.tokens)) break
      this._queue = this._queue.filter(other => other !== prompt)
      this._unread += prompt.tokens
      admitted.push(prompt.id)
    }
    return admitted
  }

  private _needed (queue: readonly QueuedPrompt[], late: (prompt: QueuedPrompt) => number, now: number): number {
    let ahead = this._unread
    let needed = 0
    for (const prompt of queue) {
      if (late(prompt) === 1) continue
      const left = prompt.dueAt - now - 160
      needed = Math.max(needed, left > 0 ? ahead / left : Infinity)
      ahead += prompt.tokens
    }
    return needed
  }
}
