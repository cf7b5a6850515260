/**
 * Calls to the other entries.
 */
import { Agent } from 'node:http'
import type { Ms, TransferLimits } from '@hazelford/core'
import type { UsageGrant } from '@hazelford/decisions'
import { type FeedAnswer, readFeedAnswer } from '../store/change-feed.js'
import { callJson, type JsonAnswer, type JsonCall, NoAnswer } from './json-client.js'
import { type NoticeMessage, readNotices } from '../placing/notice-messages.js'
import { type OriginQuery, type OriginsMessage, readOriginReply } from '../relay/origin-messages.js'
import { type LoadRequestMessage, type LoadRequestReply, type ChangesMessage, type LimitReply, type LimitReport, type PeerLoadRequestOutcome, peerPaths, type TakeoverMessage, unavailableStatus, type UseMessage } from './peer-messages.js'
import type { ConfigAge, PeerState } from './peer-state.js'
import type { PeerAddress } from './peer-table.js'
import type { StreamOrigin } from '../relay/stream-origins.js'
import { type AnsweredQuery, type AnsweredReply, type QuarantinedMessage, readAnsweredReply, type TerminationsMessage } from '../quarantine/quarantine-messages.js'
import { ReportRejected, type UsageMessage } from '../usage/usage-coordinator.js'
import { readUsageGrants } from '../usage/usage-messages.js'

/**
 * Longest wait for a peer's answer, in addition to the time for which the peer may hold the call. Peers are a few ms
 * apart; one that takes longer is cut off, frozen or gone.
 */
const answerMargin: Ms = 150
const stateTimeout: Ms = 1_000
/** A former holder answers once none of its orders can arrive at the engine any more. */
const takeoverTimeout: Ms = 1_000
/** Margin for an answer with changes from a watcher on a fifth of a core. */
const changesMargin: Ms = 300
/** Answers with changes or a whole state grow with the deployment and its configuration. */
const stateTransfer: TransferLimits = { pause: 300, total: 5_000 }

/** Calls other entries. */
export class PeerClient {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 16 })
  private _closed = false

  /**
   * Requests an adapter.
   *
   * @param peer - the holder of the engine
   * @param msg - the load request
   * @param now - current time, for the end of the reservation
   * @returns rejects when no answer arrived in time
   */
  async requestLoad (peer: PeerAddress, msg: LoadRequestMessage, now: () => Ms): Promise<PeerLoadRequestOutcome> {
    const sentAt = now()
    const answer = await this._call({ host: peer.host, port: peer.port, method: 'POST', path: peerPaths.ask, body: msg, timeout: msg.answerIn + answerMargin })
    if (answer.status !== 200) throw new Error(`The holder answered ${answer.status}.`)
    const reply = answer.body as LoadRequestReply
    const loads = reply.loads ?? []
    if (reply.kind !== 'ready') return { ...reply, loads }
    const { lasts, version, ...rest } = reply
    // The holder counts the reservation's time left from its reply; counting from the request is safe.
    return { ...rest, loads, version, until: Math.max(sentAt, now() - answerMargin) + lasts }
  }

  /** Polls for changes in the store after a revision; rejects when no answer arrived in time. */
  async changes ({ host, port }: PeerAddress, after: number, wait: Ms): Promise<FeedAnswer> {
    const body: ChangesMessage = { after, wait }
    const answer = await this._call({ host, port, method: 'POST', path: peerPaths.changes, body, compressed: true, timeout: wait + changesMargin, transfer: stateTransfer })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    const changes = readFeedAnswer(answer.body)
    if (changes === undefined) throw new Error('The peer\'s answer can not be read.')
    return changes
  }

  /** Fetches configuration and upstreams. */
  async state ({ host, port }: { readonly host: string, readonly port: number }): Promise<PeerState> {
    const answer = await this._call({ host, port, method: 'GET', path: peerPaths.state, compressed: true, timeout: stateTimeout, transfer: stateTransfer })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    return answer.body as PeerState
  }

  /** Reports usage to its allocator; rejects when the allocator does not answer, or does not allocate yet. */
  async reportUsage ({ host, port }: PeerAddress, msg: UsageMessage): Promise<readonly UsageGrant[]> {
    const { status, body } = await this._call({ host, port, method: 'POST', path: peerPaths.usage, body: msg, timeout: answerMargin })
    const grants = readUsageGrants(body)
    if (status === unavailableStatus) throw new ReportRejected('The entry does not allocate usage yet.')
    if (status !== 200 || grants === undefined) throw new Error(`The allocator answered ${status}.`)
    return grants
  }

  /** Reports the usage of upstreams' limits to their allocator; rejects when the allocator does not answer. */
  async reportLimits ({ host, port }: PeerAddress, msg: LimitReport): Promise<LimitReply> {
    const { status, body } = await this._call({ host, port, method: 'POST', path: peerPaths.limits, body: msg, timeout: answerMargin })
    const [grants, notices] = [readUsageGrants(body), readNotices(body)]
    if (status !== 200 || grants === undefined || notices === undefined) throw new Error(`The allocator answered ${status}.`)
    return { grants, notices }
  }

  /** Sends upstreams' notices to an entry; rejects when it does not answer. */
  sendNotices (peer: PeerAddress, msg: NoticeMessage): Promise<void> { return this._send(peer, peerPaths.notices, msg) }

  /** Queries the age of a peer's configuration; undefined when the peer does not send it. */
  async configAge ({ host, port }: PeerAddress): Promise<ConfigAge | undefined> {
    const { status, body } = await this._call({ host, port, method: 'GET', path: peerPaths.configAge, timeout: answerMargin })
    const { version, viewAge } = (body ?? {}) as Partial<ConfigAge>
    return status === 200 && typeof version === 'number' && typeof viewAge === 'number' ? { version, viewAge } : undefined
  }

  /** Rejects when a peer does not answer. */
  async ping ({ host, port }: PeerAddress): Promise<void> {
    await this._call({ host, port, method: 'GET', path: peerPaths.ping, timeout: answerMargin })
  }

  /** Reports to a holder which adapters this entry still uses. */
  reportUse (peer: PeerAddress, msg: UseMessage): Promise<void> { return this._send(peer, peerPaths.use, msg) }

  /**
   * Notifies the former holder of an engine that it has a new one.
   *
   * @returns resolves once no order of the former holder can arrive at the engine; rejects when it does not answer
   */
  notifyTakeover (peer: PeerAddress, msg: TakeoverMessage): Promise<void> { return this._send(peer, peerPaths.taken, msg, takeoverTimeout) }

  /** Reports terminations of upstreams to an entry that counts them; rejects when it does not answer. */
  reportTerminations (peer: PeerAddress, msg: TerminationsMessage): Promise<void> { return this._send(peer, peerPaths.ends, msg) }

  /** Asks an entry which of some requests and prompt parts it has answered lately; rejects when it does not answer. */
  async queryAnswered ({ host, port }: PeerAddress, query: AnsweredQuery): Promise<AnsweredReply> {
    const answer = await this._call({ host, port, method: 'POST', path: peerPaths.answered, body: query, timeout: answerMargin })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    const reply = readAnsweredReply(answer.body)
    if (reply === undefined) throw new Error('The peer\'s answer can not be read.')
    return reply
  }

  /** Notifies an entry of quarantined requests; rejects when it does not answer. */
  notifyQuarantined (peer: PeerAddress, msg: QuarantinedMessage): Promise<void> { return this._send(peer, peerPaths.held, msg) }

  /** Reports where streams began to an entry that keeps their origins; rejects when it does not answer. */
  reportOrigins (peer: PeerAddress, msg: OriginsMessage): Promise<void> { return this._send(peer, peerPaths.began, msg) }

  /** Asks an entry where a stream began; undefined when it does not know. Rejects when it does not answer. */
  async queryOrigin ({ host, port }: PeerAddress, query: OriginQuery): Promise<StreamOrigin | undefined> {
    const answer = await this._call({ host, port, method: 'POST', path: peerPaths.origin, body: query, timeout: answerMargin })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    return readOriginReply(answer.body)
  }

  /** Ends calls in progress; later ones are rejected. */
  close (): void {
    this._closed = true
    this._agent.destroy()
  }

  private async _call (call: JsonCall): Promise<JsonAnswer> {
    if (this._closed) throw new NoAnswer('This entry has stopped.', false)
    return await callJson(this._agent, call)
  }

  /** Sends a message that needs no answer. A peer of another version may not know the path; the message then counts as not sent. */
  private async _send ({ host, port }: PeerAddress, path: string, body: object, timeout = answerMargin): Promise<void> {
    const { status } = await this._call({ host, port, method: 'POST', path, body, timeout })
    if (status !== 200) throw new Error(`The peer answered ${status}.`)
  }
}
