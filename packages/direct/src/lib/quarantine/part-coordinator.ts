/**
 * Finds, together with the other entries, the prompt part under which upstreams terminate.
 */
import type { Clock, Log, Ms } from '@hazelford/core'
import { type PartEvidence, PartSuspicion, type QuarantineLimits, rendezvousOrder } from '@hazelford/decisions'
import type { PeerClient } from '../peers/peer-client.js'
import type { PeerAddress } from '../peers/peer-table.js'
import type { AgeRow, PartTerminationReport } from './quarantine-messages.js'
import type { InterruptedRequest } from './termination-detector.js'

/** What the coordinator needs of its entry. */
export interface PartCoordinatorOptions {
  readonly node: string
  readonly clock: Clock
  readonly log: Log
  readonly limits: QuarantineLimits
  readonly client: Pick<PeerClient, 'queryAnswered'>
  /** All entries that are running, this one included. */
  readonly entries: () => readonly PeerAddress[]
  readonly isQuarantined: (part: string) => boolean
  /** Sends a report to an entry that counts terminations. */
  readonly report: (node: string, report: PartTerminationReport) => void
  /** Called with the part that is to be quarantined. */
  readonly found: (evidence: PartEvidence) => void
}

/**
 * Number of entries that collect the terminations of all parts. The same ones for all parts: which part explains a
 * termination shows only in comparison with the other parts of the lost requests.
 */
const collectors = 3
const collectorsKey = 'prompt-parts'
/**
 * Time from the termination that makes a part a candidate until the decision. Requests that were lost with it are sent to
 * other upstreams meanwhile; one that is answered there clears its parts.
 */
const settleTime: Ms = 250
/** Number of times that an entry which does not answer is asked which parts it has answered. */
const queryAttempts = 2
/** Most parts that an entry is asked about. */
const maxQueried = 50
/** Hexadecimal digits of a fingerprint that tell requests with one part apart. */
const digestDigits = 8
/** Most digests of one part, and most parts, in a report: some 100 bytes a part, within the size of a message. */
const digestsOfPart = 8
const partsOfReport = 100

/** Collects lost requests by part. */
function groupByPart (lost: readonly InterruptedRequest[]): PartTerminationReport['parts'] {
  const parts = new Map<string, { readonly requests: string[], isFirst: boolean }>()
  for (const { request, parts: own } of lost) {
    for (const [position, part] of own.entries()) {
      const group = parts.get(part) ?? { requests: [], isFirst: false }
      parts.set(part, group)
      if (group.requests.length < digestsOfPart) group.requests.push(request.slice(0, digestDigits))
      group.isFirst ||= position === 0
    }
  }
  return [...parts].slice(0, partsOfReport)
}

/** One entry's part in the search for parts under which upstreams terminate. */
export class PartCoordinator {
  private readonly _suspicion: PartSuspicion
  private _isDeciding = false

  constructor (private readonly _options: PartCoordinatorOptions) {
    this._suspicion = new PartSuspicion(_options.limits, _options.isQuarantined)
  }

  limit (limits: QuarantineLimits): void { this._suspicion.limit(limits) }

  /** Records that an answer to a request with some parts began at a time, and its upstream went on running. */
  recordAnswered (parts: readonly string[], since: Ms): void {
    for (const part of parts) this._suspicion.recordAnswered(part, since)
  }

  /** Reports a termination that this entry has found to the entries that collect them. */
  reportTermination (upstream: string, lost: readonly InterruptedRequest[]): void {
    const parts = groupByPart(lost)
    if (parts.length === 0) return
    const { entries, report, node, clock } = this._options
    const at = Math.max(...lost.map(request => request.at))
    for (const collector of rendezvousOrder(collectorsKey, entries().map(entry => entry.node)).slice(0, collectors)) {
      if (collector === node) this._collect({ upstream, at, parts })
      else report(collector, { upstream, age: clock.now() - at, parts })
    }
  }

  /** Collects terminations that another entry reports. */
  receive (reports: readonly PartTerminationReport[]): void {
    for (const { upstream, age, parts } of reports) this._collect({ upstream, at: this._options.clock.now() - age, parts })
  }

  /** Returns those of some parts that were answered here, and how long ago the newest answer to each began. */
  answered (parts: readonly string[]): readonly AgeRow[] {
    const now = this._options.clock.now()
    return parts.slice(0, maxQueried).flatMap(part => {
      const since = this._suspicion.answeredSince(part, now)
      return since === undefined ? [] : [[part, now - since] as const]
    })
  }

  private _collect ({ upstream, at, parts }: { readonly upstream: string, readonly at: Ms, readonly parts: PartTerminationReport['parts'] }): void {
    const { clock, log } = this._options
    this._suspicion.recordTermination({ upstream, at, parts: new Map(parts) }, clock.now())
    if (this._isDeciding || this._suspicion.candidates(clock.now()).length === 0) return
    this._isDeciding = true
    clock.after(settleTime, () => {
      this._decide().catch((error: Error) => log.warn('request', 'quarantine decision failed.', { error: error.message }))
        .finally(() => { this._isDeciding = false })
    })
  }

  /** Asks the other entries which candidates they have answered, and reports the parts that explain the terminations. */
  private async _decide (): Promise<void> {
    const { clock, log, found } = this._options
    const candidates = this._suspicion.candidates(clock.now()).slice(0, maxQueried)
    if (candidates.length === 0) return
    const replies = await Promise.all(this._peers.map(peer => this._query(peer, candidates)))
    const answers = replies.filter(reply => reply !== undefined)
    for (const [part, since] of answers.flat()) this._suspicion.recordAnswered(part, since)
    // An entry that can reach no more than a few others can't know which parts are answered elsewhere.
    if (2 * answers.length < replies.length) return log.info('request', 'no prompt part is quarantined, since most entries do not answer.', { candidates, entries: replies.length, answers: answers.length })
    const cleared = candidates.length - this._suspicion.candidates(clock.now()).length
    const parts = this._suspicion.likeliest(clock.now())
    log.info('request', 'prompt parts compared after terminations.', { quarantined: parts.map(({ part }) => part), candidates, cleared })
    for (const evidence of parts) found(evidence)
  }

  private get _peers (): readonly PeerAddress[] { return this._options.entries().filter(({ node }) => node !== this._options.node) }

  /** Returns when the newest answers to requests with some parts began at another entry; undefined when it does not say. */
  private async _query (peer: PeerAddress, parts: readonly string[]): Promise<ReadonlyArray<readonly [string, Ms]> | undefined> {
    const { client, clock, log } = this._options
    for (let attempt = 1; ; attempt++) {
      try {
        const reply = await client.queryAnswered(peer, { requests: [], parts })
        return reply.parts?.map(([part, age]) => [part, clock.now() - age] as const)
      } catch (error) {
        if (attempt < queryAttempts) continue
        log.info('peers', 'no answer to query for answered requests.', { peer: peer.node, cause: (error as Error).message })
        return undefined
      }
    }
  }
}
