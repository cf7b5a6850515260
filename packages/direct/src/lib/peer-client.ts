/**
 * Calls to the other entries.
 */
import { Agent } from 'node:http'
import type { Ms } from '@hazelford/core'
import type { UsageGrant } from '@hazelford/decisions'
import { type FeedAnswer, readFeedAnswer } from './change-feed.js'
import { callJson, type JsonAnswer, type JsonCall, NoAnswer } from './json-client.js'
import { type NoticeMessage, readNotices } from './notice-messages.js'
import { type AnsweredQuery, type LoadRequestMessage, type LoadRequestReply, type ChangesMessage, type TerminationsMessage, type QuarantinedMessage, type LimitReply, type LimitReport, type PeerLoadRequestOutcome, peerPaths, type TakeoverMessage, type UseMessage } from './peer-messages.js'
import type { ConfigAge, PeerState } from './peer-state.js'
import type { PeerAddress } from './peer-table.js'
import type { UsageMessage } from './usage-coordinator.js'
import { readUsageGrants } from './usage-messages.js'

/** Peers are a few ms apart; one that takes longer is cut off, frozen or gone. */
const answerMargin: Ms = 150
const stateTimeout: Ms = 1_000
/** For an answer with many changes over a link of 7 Mbit/s, and a watcher on a fifth of a core. */
const changesMargin: Ms = 300

/** Calls other entries. */
export class PeerClient {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 16 })
  private _closed = false

  /**
   * Asks for an adapter.
   *
   * @param peer - the entry that orders the engine
   * @param msg - what is asked
   * @param now - for the time of the promise
   * @returns rejects when no answer came in time
   */
  async requestLoad (peer: PeerAddress, msg: LoadRequestMessage, now: () => Ms): Promise<PeerLoadRequestOutcome> {
    const sentAt = now()
    const answer = await this._call({ host: peer.host, port: peer.port, method: 'POST', path: peerPaths.ask, body: msg, timeout: msg.answerIn + answerMargin })
    if (answer.status !== 200) throw new Error(`The holder answered ${answer.status}.`)
    const reply = answer.body as LoadRequestReply
    const loads = reply.loads ?? []
    if (reply.kind !== 'ready') return { ...reply, loads }
    const { lasts, version, ...rest } = reply
    // The promise runs from the reply; counting from the request is the safe side.
    return { ...rest, loads, version, until: Math.max(sentAt, now() - answerMargin) + lasts }
  }

  /** Asks for changes in the store after a revision; rejects when no answer came in time. */
  async changes ({ host, port }: PeerAddress, after: number, wait: Ms): Promise<FeedAnswer> {
    const body: ChangesMessage = { after, wait }
    const answer = await this._call({ host, port, method: 'POST', path: peerPaths.changes, body, compressed: true, timeout: wait + changesMargin })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    const changes = readFeedAnswer(answer.body)
    if (changes === undefined) throw new Error('The peer\'s answer can not be read.')
    return changes
  }

  /** Asks for configuration and upstreams. */
  async state ({ host, port }: { readonly host: string, readonly port: number }): Promise<PeerState> {
    const answer = await this._call({ host, port, method: 'GET', path: peerPaths.state, compressed: true, timeout: stateTimeout })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    return answer.body as PeerState
  }

  /** Reports usage to the entry that counts it; rejects when it does not answer. */
  async reportUsage ({ host, port }: PeerAddress, msg: UsageMessage): Promise<readonly UsageGrant[]> {
    const { status, body } = await this._call({ host, port, method: 'POST', path: peerPaths.usage, body: msg, timeout: answerMargin })
    const grants = readUsageGrants(body)
    if (status !== 200 || grants === undefined) throw new Error(`The keeper answered ${status}.`)
    return grants
  }

  /** Reports what is used of upstreams' limits to the entry that counts it; rejects when it does not answer. */
  async reportLimits ({ host, port }: PeerAddress, msg: LimitReport): Promise<LimitReply> {
    const { status, body } = await this._call({ host, port, method: 'POST', path: peerPaths.limits, body: msg, timeout: answerMargin })
    const [grants, notices] = [readUsageGrants(body), readNotices(body)]
    if (status !== 200 || grants === undefined || notices === undefined) throw new Error(`The keeper answered ${status}.`)
    return { grants, notices }
  }

  /** Tells an entry what upstreams say of themselves; rejects when it does not answer. */
  sendNotices (peer: PeerAddress, msg: NoticeMessage): Promise<void> { return this._tell(peer, peerPaths.notices, msg) }

  /** Asks as of when a peer knows the configuration; undefined when it does not say. */
  async configAge ({ host, port }: PeerAddress): Promise<ConfigAge | undefined> {
    const { status, body } = await this._call({ host, port, method: 'GET', path: peerPaths.configAge, timeout: answerMargin })
    const { version, viewAge } = (body ?? {}) as Partial<ConfigAge>
    return status === 200 && typeof version === 'number' && typeof viewAge === 'number' ? { version, viewAge } : undefined
  }

  /** Tells whether a peer answers; rejects when it does not. */
  async ping ({ host, port }: PeerAddress): Promise<void> {
    await this._call({ host, port, method: 'GET', path: peerPaths.ping, timeout: answerMargin })
  }

  /** Tells a holder what this entry still uses. */
  reportUse (peer: PeerAddress, msg: UseMessage): Promise<void> { return this._tell(peer, peerPaths.use, msg) }

  /** Tells the former holder of an engine that it has a new one; rejects when it does not answer. */
  notifyTakeover (peer: PeerAddress, msg: TakeoverMessage): Promise<void> { return this._tell(peer, peerPaths.taken, msg) }

  /** Tells an entry that counts them of ends of upstreams; rejects when it does not answer. */
  reportTerminations (peer: PeerAddress, msg: TerminationsMessage): Promise<void> { return this._tell(peer, peerPaths.ends, msg) }

  /** Asks an entry which of some requests it has answered lately; rejects when it does not answer. */
  async queryAnswered ({ host, port }: PeerAddress, query: AnsweredQuery): Promise<readonly string[]> {
    const answer = await this._call({ host, port, method: 'POST', path: peerPaths.answered, body: query, timeout: answerMargin })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    return (answer.body as { readonly answered: readonly string[] }).answered
  }

  /** Tells an entry which requests are held back; rejects when it does not answer. */
  notifyQuarantined (peer: PeerAddress, msg: QuarantinedMessage): Promise<void> { return this._tell(peer, peerPaths.held, msg) }

  /** Ends calls that are under way; later ones are rejected. */
  close (): void {
    this._closed = true
    this._agent.destroy()
  }

  private async _call (call: JsonCall): Promise<JsonAnswer> {
    if (this._closed) throw new NoAnswer('This entry has ended.', false)
    return await callJson(this._agent, call)
  }

  /** One of another version may not know what it is told; nothing was told then. */
  private async _tell ({ host, port }: PeerAddress, path: string, body: object): Promise<void> {
    const { status } = await this._call({ host, port, method: 'POST', path, body, timeout: answerMargin })
    if (status !== 200) throw new Error(`The peer answered ${status}.`)
  }
}
