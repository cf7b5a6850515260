/**
 * Tracks requests that wait before they are relayed, so that an entry that stops answers them.
 */
import type { IncomingRequest } from './caller-server.js'

/** What a request waits for: a fresh configuration, credit of its organisation, or the origin of the stream that it resumes. */
export type WaitCause = 'configuration' | 'usage' | 'origin'

/** A request that waits. */
export interface WaitingRequest {
  readonly incoming: IncomingRequest
  /** Undefined where it can't be read. */
  readonly id: string | undefined
  readonly cause: WaitCause
}

/** Requests that wait before they are relayed. */
export class WaitingRequests {
  private readonly _waiting = new Set<WaitingRequest>()

  /** @param _refuse - answers a request that has not run and never will */
  constructor (private readonly _refuse: (request: WaitingRequest) => void) {}

  /** Refuses all requests that wait. Each `wait` still ends with its result, when the request's answer has ended. */
  refuseAll (): void {
    for (const request of this._waiting) if (!request.incoming.answer.ended) this._refuse(request)
    this._waiting.clear()
  }

  /**
   * Tracks a request until the result that it waits for is there.
   *
   * @returns the result; the request may have been refused and its caller may have left by then
   */
  async wait<T> (incoming: IncomingRequest, id: string | undefined, cause: WaitCause, result: Promise<T>): Promise<T> {
    const request: WaitingRequest = { incoming, id, cause }
    this._waiting.add(request)
    try {
      return await result
    } finally {
      this._waiting.delete(request)
    }
  }
}
