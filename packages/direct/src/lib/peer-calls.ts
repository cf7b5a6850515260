/**
 * Calls between entries: an adapter is asked of the entry that orders its engine.
 */
import { Agent, createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Ms } from '@hazelford/core'
import type { UsageGrant } from '@hazelford/decisions'
import { type FeedAnswer, readFeedAnswer } from './change-feed.js'
import type { EngineLoad } from './engine-admission.js'
import type { Ask, AskOutcome, UnavailableCause } from './engine-holder.js'
import { callJson, readJson } from './json-client.js'
import type { DigestRow } from './load-digest.js'
import type { News } from './load-news.js'
import { type NoticeMessage, readNotices } from './notice-messages.js'
import type { ConfigAge, PeerState } from './peer-state.js'
import type { PeerAddress } from './peer-table.js'
import type { UsageMessage } from './usage-desk.js'
import { readUsageGrants, readUsageMessage } from './usage-messages.js'

/** An adapter asked of another entry. */
export interface AskMessage extends Ask {
  readonly upstream: string
  /** What the asking entry knows of engines' loads. */
  readonly loads: readonly DigestRow[]
}

/** The answer to an ask of another entry. */
export type PeerAskOutcome = AskOutcome & { readonly loads: readonly DigestRow[] }

/** What an entry still uses at an engine. */
export interface UseMessage {
  readonly upstream: string
  readonly entry: string
  readonly uses: readonly string[]
  /** Its open requests there; undefined from an entry of a version that does not say. */
  readonly outstanding?: number
}

/** An engine that has a new holder. */
export interface TakenMessage { readonly upstream: string, readonly fence: number }

/** Upstreams that ended while they had requests, told to an entry that counts such ends. */
export interface EndsMessage {
  /** `request`: its fingerprint; `age`: ms since its answer was lost. */
  readonly ends: ReadonlyArray<{ readonly request: string, readonly upstream: string, readonly age: Ms }>
}

/** Requests that are held back, by their fingerprints. */
export interface HeldMessage { readonly requests: readonly string[] }

/** Asks which of some requests were answered whole lately, by their fingerprints. */
export interface AnsweredQuery { readonly requests: readonly string[] }

/** What an entry uses of upstreams' limits, with what these have told it. */
export type LimitReport = UsageMessage & NoticeMessage

/** What is lent to it, with what upstreams have told the keeper. */
export interface LimitReply extends NoticeMessage { readonly grants: readonly UsageGrant[] }

/** The answer; a promise is told as the time left, since clocks differ. */
type AskReply = { readonly news?: News, readonly loads?: readonly DigestRow[] } & (
  | { readonly kind: 'ready', readonly lasts: Ms, readonly version?: number, readonly load?: EngineLoad, readonly atDoor?: Ms }
  | { readonly kind: 'coming', readonly atDoor?: Ms }
  | { readonly kind: 'unavailable', readonly cause: UnavailableCause, readonly line?: number, readonly load?: EngineLoad }
)

/** A question for changes in the store. */
interface ChangesMessage { readonly after: number, readonly wait: Ms }

/** Longest time that a question for changes is held. */
const longestFeedWait: Ms = 2_000

const askPath = '/adapters/ask'
const usePath = '/adapters/use'
const takenPath = '/holders/taken'
const endsPath = '/requests/ends'
const heldPath = '/requests/held'
const answeredPath = '/requests/answered'
const changesPath = '/store/changes'
const statePath = '/state'
const configAgePath = '/config/age'
const usagePath = '/usage/report'
const limitsPath = '/upstreams/limits'
const noticesPath = '/upstreams/notices'
const pingPath = '/ping'
/** An entry may have requests open on some hundred adapters of an engine. */
const maxBody = 64 * 1024
/** Peers are a few ms apart; one that takes longer is cut off, frozen or gone. */
const answerMargin: Ms = 150
const stateTimeout: Ms = 1_000
/** For an answer with many changes over a link of 7 Mbit/s, and a watcher on a fifth of a core. */
const changesMargin: Ms = 300

/** What an entry does for its peers. */
export interface PeerService {
  readonly ask: (msg: AskMessage) => Promise<PeerAskOutcome>
  readonly noteUse: (msg: UseMessage) => void
  /** Another entry orders an engine from now on. */
  readonly taken: (msg: TakenMessage) => void
  readonly heardEnds: (msg: EndsMessage) => void
  readonly heardHeld: (msg: HeldMessage) => void
  /** Which of some requests were answered whole here lately. */
  readonly answered: (msg: AnsweredQuery) => readonly string[]
  readonly now: () => Ms
  /** Changes in the store after a revision. */
  readonly changes: (after: number, wait: Ms) => Promise<FeedAnswer>
  /** Configuration and upstreams, for a peer that starts while the store is away. */
  readonly state: () => PeerState | undefined
  /** As of when the configuration is known, for a peer that can't tell. */
  readonly configAge: () => ConfigAge | undefined
  /** Lends an entry credit of organisations that are counted here. */
  readonly reportUsage: (msg: UsageMessage) => readonly UsageGrant[]
  /** Lends an entry requests to upstreams that name a limit. */
  readonly reportLimits: (msg: LimitReport) => LimitReply
  /** Upstreams have told another entry something of themselves. */
  readonly heardNotices: (msg: NoticeMessage) => void
}

function sendJson (res: ServerResponse, status: number, value: object): void {
  const body = JSON.stringify(value)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
  res.end(body)
}

async function answer (service: PeerService, req: IncomingMessage, res: ServerResponse): Promise<void> {
  if (req.method === 'GET' && req.url === statePath) {
    const state = service.state()
    sendJson(res, state === undefined ? 503 : 200, state ?? { error: 'Nothing is known here yet.' })
    return
  }
  if (req.method === 'GET' && req.url === configAgePath) {
    const age = service.configAge()
    return sendJson(res, age === undefined ? 503 : 200, age ?? {})
  }
  if (req.method === 'GET' && req.url === pingPath) return sendJson(res, 200, {})
  if (req.method === 'POST' && req.url === usePath) {
    service.noteUse(await readJson(req, maxBody) as UseMessage)
    return sendJson(res, 200, {})
  }
  if (req.method === 'POST' && req.url === usagePath) {
    const msg = readUsageMessage(await readJson(req, maxBody))
    return msg === undefined ? sendJson(res, 400, { error: 'This is no report of usage.' }) : sendJson(res, 200, { grants: service.reportUsage(msg) })
  }
  if (req.method === 'POST' && req.url === limitsPath) {
    const body = await readJson(req, maxBody)
    const [msg, notices] = [readUsageMessage(body), readNotices(body)]
    return msg === undefined || notices === undefined ? sendJson(res, 400, { error: 'This is no report of limits.' }) : sendJson(res, 200, service.reportLimits({ ...msg, notices }))
  }
  if (req.method === 'POST' && req.url === noticesPath) {
    const notices = readNotices(await readJson(req, maxBody))
    if (notices === undefined) return sendJson(res, 400, { error: 'These are no words of upstreams.' })
    service.heardNotices({ notices })
    return sendJson(res, 200, {})
  }
  if (req.method === 'POST' && req.url === takenPath) {
    service.taken(await readJson(req, maxBody) as TakenMessage)
    return sendJson(res, 200, {})
  }
  if (req.method === 'POST' && req.url === endsPath) {
    service.heardEnds(await readJson(req, maxBody) as EndsMessage)
    return sendJson(res, 200, {})
  }
  if (req.method === 'POST' && req.url === heldPath) {
    service.heardHeld(await readJson(req, maxBody) as HeldMessage)
    return sendJson(res, 200, {})
  }
  if (req.method === 'POST' && req.url === answeredPath) {
    return sendJson(res, 200, { answered: service.answered(await readJson(req, maxBody) as AnsweredQuery) })
  }
  if (req.method === 'POST' && req.url === changesPath) {
    const { after, wait } = await readJson(req, maxBody) as ChangesMessage
    return sendJson(res, 200, await service.changes(after, Math.min(wait, longestFeedWait)))
  }
  if (req.method !== 'POST' || req.url !== askPath) return sendJson(res, 404, { error: `Nothing is served at ${req.url ?? ''}.` })
  const outcome = await service.ask(await readJson(req, maxBody) as AskMessage)
  sendJson(res, 200, toReply(outcome, service.now()))
}

function toReply (outcome: PeerAskOutcome, now: Ms): AskReply {
  if (outcome.kind !== 'ready') return outcome
  const { until, ...rest } = outcome
  return { ...rest, lasts: until - now }
}

/**
 * Serves the other entries.
 *
 * @param service - what it does for them
 * @param host - address to listen on
 * @param port - 0 lets the kernel choose
 */
export function servePeers (service: PeerService, host: string, port: number): Promise<Server> {
  const server = createServer((req, res) => {
    answer(service, req, res).catch((error: Error) => {
      if (!res.headersSent) sendJson(res, 400, { error: error.message })
    })
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}

/** Calls other entries. */
export class PeerClient {
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 16 })

  /**
   * Asks for an adapter.
   *
   * @param peer - the entry that orders the engine
   * @param msg - what is asked
   * @param now - for the time of the promise
   * @returns rejects when no answer came in time
   */
  async ask (peer: PeerAddress, msg: AskMessage, now: () => Ms): Promise<PeerAskOutcome> {
    const sentAt = now()
    const answer = await callJson(this._agent, { host: peer.host, port: peer.port, method: 'POST', path: askPath, body: msg, timeout: msg.answerIn + answerMargin })
    if (answer.status !== 200) throw new Error(`The holder answered ${answer.status}.`)
    const reply = answer.body as AskReply
    const loads = reply.loads ?? []
    if (reply.kind !== 'ready') return { ...reply, loads }
    const { lasts, version, ...rest } = reply
    // The promise runs from the reply; counting from the request is the safe side.
    return { ...rest, loads, version, until: Math.max(sentAt, now() - answerMargin) + lasts }
  }

  /** Asks for changes in the store after a revision; rejects when no answer came in time. */
  async changes ({ host, port }: PeerAddress, after: number, wait: Ms): Promise<FeedAnswer> {
    const body: ChangesMessage = { after, wait }
    const answer = await callJson(this._agent, { host, port, method: 'POST', path: changesPath, body, timeout: wait + changesMargin })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    const changes = readFeedAnswer(answer.body)
    if (changes === undefined) throw new Error('The peer\'s answer can not be read.')
    return changes
  }

  /** Asks for configuration and upstreams. */
  async state ({ host, port }: { readonly host: string, readonly port: number }): Promise<PeerState> {
    const answer = await callJson(this._agent, { host, port, method: 'GET', path: statePath, timeout: stateTimeout })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    return answer.body as PeerState
  }

  /** Reports usage to the entry that counts it; rejects when it does not answer. */
  async reportUsage ({ host, port }: PeerAddress, msg: UsageMessage): Promise<readonly UsageGrant[]> {
    const { status, body } = await callJson(this._agent, { host, port, method: 'POST', path: usagePath, body: msg, timeout: answerMargin })
    const grants = readUsageGrants(body)
    if (status !== 200 || grants === undefined) throw new Error(`The keeper answered ${status}.`)
    return grants
  }

  /** Reports what is used of upstreams' limits to the entry that counts it; rejects when it does not answer. */
  async reportLimits ({ host, port }: PeerAddress, msg: LimitReport): Promise<LimitReply> {
    const { status, body } = await callJson(this._agent, { host, port, method: 'POST', path: limitsPath, body: msg, timeout: answerMargin })
    const [grants, notices] = [readUsageGrants(body), readNotices(body)]
    if (status !== 200 || grants === undefined || notices === undefined) throw new Error(`The keeper answered ${status}.`)
    return { grants, notices }
  }

  /** Tells an entry what upstreams say of themselves; rejects when it does not answer. */
  async tellNotices ({ host, port }: PeerAddress, msg: NoticeMessage): Promise<void> {
    await callJson(this._agent, { host, port, method: 'POST', path: noticesPath, body: msg, timeout: answerMargin })
  }

  /** Asks as of when a peer knows the configuration; undefined when it does not say. */
  async configAge ({ host, port }: PeerAddress): Promise<ConfigAge | undefined> {
    const { status, body } = await callJson(this._agent, { host, port, method: 'GET', path: configAgePath, timeout: answerMargin })
    const { version, viewAge } = (body ?? {}) as Partial<ConfigAge>
    return status === 200 && typeof version === 'number' && typeof viewAge === 'number' ? { version, viewAge } : undefined
  }

  /** Tells whether a peer answers; rejects when it does not. */
  async ping ({ host, port }: PeerAddress): Promise<void> {
    await callJson(this._agent, { host, port, method: 'GET', path: pingPath, timeout: answerMargin })
  }

  /** Tells a holder what this entry still uses. */
  async tellUse ({ host, port }: PeerAddress, msg: UseMessage): Promise<void> {
    await callJson(this._agent, { host, port, method: 'POST', path: usePath, body: msg, timeout: answerMargin })
  }

  /** Tells the former holder of an engine that it has a new one; rejects when it does not answer. */
  async tellTaken ({ host, port }: PeerAddress, msg: TakenMessage): Promise<void> {
    await callJson(this._agent, { host, port, method: 'POST', path: takenPath, body: msg, timeout: answerMargin })
  }

  /** Tells an entry that counts them of ends of upstreams; rejects when it does not answer. */
  async tellEnds ({ host, port }: PeerAddress, msg: EndsMessage): Promise<void> {
    await callJson(this._agent, { host, port, method: 'POST', path: endsPath, body: msg, timeout: answerMargin })
  }

  /** Asks an entry which of some requests it has answered lately; rejects when it does not answer. */
  async askAnswered ({ host, port }: PeerAddress, query: AnsweredQuery): Promise<readonly string[]> {
    const answer = await callJson(this._agent, { host, port, method: 'POST', path: answeredPath, body: query, timeout: answerMargin })
    if (answer.status !== 200) throw new Error(`The peer answered ${answer.status}.`)
    return (answer.body as { readonly answered: readonly string[] }).answered
  }

  /** Tells an entry which requests are held back; rejects when it does not answer. */
  async tellHeld ({ host, port }: PeerAddress, msg: HeldMessage): Promise<void> {
    await callJson(this._agent, { host, port, method: 'POST', path: heldPath, body: msg, timeout: answerMargin })
  }

  close (): void { this._agent.destroy() }
}
