/**
 * Serves the calls of the other entries.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { promisify } from 'node:util'
import { constants, gzip } from 'node:zlib'
import type { Ms, OperatorView } from '@hazelford/core'
import type { UsageGrant } from '@hazelford/decisions'
import type { FeedAnswer } from '../store/change-feed.js'
import { compression, readJson } from './json-client.js'
import { readLoadRequest, readUse } from '../engines/load-request-messages.js'
import { type NoticeMessage, readNotices } from '../placing/notice-messages.js'
import { type OriginQuery, type OriginReply, type OriginsMessage, readOriginQuery, readOrigins } from '../relay/origin-messages.js'
import { type LoadRequestMessage, type LoadRequestReply, type ChangesMessage, type LimitReply, type LimitReport, type PeerLoadRequestOutcome, peerPaths, type TakeoverMessage, unavailableStatus, type UseMessage } from './peer-messages.js'
import type { ConfigAge, PeerState } from './peer-state.js'
import { type AnsweredQuery, type AnsweredReply, type QuarantinedMessage, readAnsweredQuery, readQuarantined, readTerminations, type TerminationsMessage } from '../quarantine/quarantine-messages.js'
import type { UsageMessage } from '../usage/usage-coordinator.js'
import { readUsageMessage } from '../usage/usage-messages.js'

/** Longest time that a poll for changes is held open. */
const longestFeedWait: Ms = 2_000
/**
 * Largest request body. An entry may have requests open on some hundred adapters of an engine, and report as many
 * upstreams.
 */
const maxBody = 128 * 1024
/**
 * Size in bytes from which answers are compressed: on a slow link, a large configuration would take longer than its
 * callers wait.
 */
const compressFrom = 16 * 1024

const compress = promisify(gzip)

/** What an entry does for its peers. */
export interface PeerService {
  readonly requestLoad: (msg: LoadRequestMessage) => Promise<PeerLoadRequestOutcome>
  readonly recordUse: (msg: UseMessage) => void
  /** Another entry holds an engine from now on; resolves once no order of this entry can arrive at the engine any more. */
  readonly receiveTakeover: (msg: TakeoverMessage) => Promise<void>
  readonly receiveTerminations: (msg: TerminationsMessage) => void
  readonly receiveQuarantined: (msg: QuarantinedMessage) => void
  /** Which of some requests and prompt parts were answered here in the recent past. */
  readonly answered: (msg: AnsweredQuery) => AnsweredReply
  readonly now: () => Ms
  /** This entry's state for operators. */
  readonly operatorView: () => OperatorView
  /** Changes in the store after a revision. */
  readonly changes: (after: number, wait: Ms) => Promise<FeedAnswer>
  /** Configuration and upstreams, for a peer that starts during an outage of the store. */
  readonly state: () => PeerState | undefined
  /** Age of the configuration, for a peer that can't verify its own. */
  readonly configAge: () => ConfigAge | undefined
  /** Grants an entry credit of organisations whose allocator this entry is. */
  readonly reportUsage: (msg: UsageMessage) => readonly UsageGrant[] | undefined
  /** Grants an entry requests to upstreams that announce a limit. */
  readonly reportLimits: (msg: LimitReport) => LimitReply
  /** Handles notices that another entry has received from upstreams. */
  readonly receiveNotices: (msg: NoticeMessage) => void
  /** Keeps where streams of another entry began. */
  readonly receiveOrigins: (msg: OriginsMessage) => void
  /** Where a stream began, as far as this entry knows. */
  readonly findOrigin: (query: OriginQuery) => OriginReply
}

/** The answer to a peer's call. */
interface PeerAnswer { readonly status: number, readonly body: object }

function ok (body: object = {}): PeerAnswer { return { status: 200, body } }
function malformed (problem: string): PeerAnswer { return { status: 400, body: { error: problem } } }

/** Answers with the state, or with 503 while there is none yet. */
function stateOrUnavailable (body: object | undefined): PeerAnswer {
  return body === undefined ? { status: unavailableStatus, body: { error: 'No state is known here yet.' } } : ok(body)
}

function answerGet (service: PeerService, path: string): PeerAnswer | undefined {
  switch (path) {
    case peerPaths.state: return stateOrUnavailable(service.state())
    case peerPaths.configAge: return stateOrUnavailable(service.configAge())
    case peerPaths.operators: return ok(service.operatorView())
    case peerPaths.ping: return ok()
    default: return undefined
  }
}

function answerLimits (service: PeerService, body: unknown): PeerAnswer {
  const [msg, notices] = [readUsageMessage(body), readNotices(body)]
  return msg === undefined || notices === undefined ? malformed('The body is not a report of upstream limits.') : ok(service.reportLimits({ ...msg, notices }))
}

function answerUsage (service: PeerService, body: unknown): PeerAnswer {
  const msg = readUsageMessage(body)
  if (msg === undefined) return malformed('The body is not a usage report.')
  const grants = service.reportUsage(msg)
  return stateOrUnavailable(grants && { grants })
}

function answerNotices (service: PeerService, body: unknown): PeerAnswer {
  const notices = readNotices(body)
  if (notices === undefined) return malformed('The body has no valid upstream notices.')
  service.receiveNotices({ notices })
  return ok()
}

function answerOrigins (service: PeerService, body: unknown): PeerAnswer {
  const origins = readOrigins(body)
  if (origins === undefined) return malformed('The body has no valid origins of streams.')
  service.receiveOrigins({ origins })
  return ok()
}

function answerOriginQuery (service: PeerService, body: unknown): PeerAnswer {
  const query = readOriginQuery(body)
  return query === undefined ? malformed('The body names no stream.') : ok(service.findOrigin(query))
}

function answerTerminations (service: PeerService, body: unknown): PeerAnswer {
  const msg = readTerminations(body)
  if (msg === undefined) return malformed('The body is not a report of terminations.')
  service.receiveTerminations(msg)
  return ok()
}

function answerQuarantined (service: PeerService, body: unknown): PeerAnswer {
  const msg = readQuarantined(body)
  if (msg === undefined) return malformed('The body names no quarantined requests or prompt parts.')
  service.receiveQuarantined(msg)
  return ok()
}

function answerAnsweredQuery (service: PeerService, body: unknown): PeerAnswer {
  const query = readAnsweredQuery(body)
  return query === undefined ? malformed('The body names no requests.') : ok(service.answered(query))
}

async function answerLoadRequest (service: PeerService, body: unknown): Promise<PeerAnswer> {
  const msg = readLoadRequest(body)
  return msg === undefined ? malformed('The body is not a load request.') : ok(toReply(await service.requestLoad(msg), service.now()))
}

function answerUse (service: PeerService, body: unknown): PeerAnswer {
  const msg = readUse(body)
  if (msg === undefined) return malformed('The body is not a report of use.')
  service.recordUse(msg)
  return ok()
}

/** Handles a message whose answer says only that it was handled. */
async function handle<T> (handler: (msg: T) => void | Promise<void>, body: unknown): Promise<PeerAnswer> {
  await handler(body as T)
  return ok()
}

async function answerPost (service: PeerService, path: string, body: unknown): Promise<PeerAnswer | undefined> {
  switch (path) {
    case peerPaths.ask: return answerLoadRequest(service, body)
    case peerPaths.use: return answerUse(service, body)
    case peerPaths.taken: return handle(service.receiveTakeover, body)
    case peerPaths.ends: return answerTerminations(service, body)
    case peerPaths.held: return answerQuarantined(service, body)
    case peerPaths.answered: return answerAnsweredQuery(service, body)
    case peerPaths.usage: return answerUsage(service, body)
    case peerPaths.limits: return answerLimits(service, body)
    case peerPaths.notices: return answerNotices(service, body)
    case peerPaths.began: return answerOrigins(service, body)
    case peerPaths.origin: return answerOriginQuery(service, body)
    case peerPaths.changes: {
      const { after, wait } = body as ChangesMessage
      return ok(await service.changes(after, Math.min(wait, longestFeedWait)))
    }
    default: return undefined
  }
}

async function answer (service: PeerService, req: IncomingMessage): Promise<PeerAnswer> {
  const path = req.url ?? ''
  const found = req.method === 'GET' ? answerGet(service, path) : await answerPost(service, path, await readJson(req, maxBody))
  return found ?? { status: 404, body: { error: `Nothing is served at ${path}.` } }
}

async function send (req: IncomingMessage, res: ServerResponse, { status, body }: PeerAnswer): Promise<void> {
  const plain = Buffer.from(JSON.stringify(body))
  const isCompressed = plain.length >= compressFrom && req.headers['accept-encoding'] === compression
  const bytes = isCompressed ? await compress(plain, { level: constants.Z_BEST_SPEED }) : plain
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': bytes.length, ...(isCompressed ? { 'content-encoding': compression } : {}) })
  res.end(bytes)
}

function toReply (outcome: PeerLoadRequestOutcome, now: Ms): LoadRequestReply {
  if (outcome.kind !== 'ready') return outcome
  const { until, ...rest } = outcome
  return { ...rest, lasts: until - now }
}

/**
 * Serves the calls of the other entries.
 *
 * @param service - handles them
 * @param host - address to listen on
 * @param port - 0 lets the kernel choose
 */
export function servePeers (service: PeerService, host: string, port: number): Promise<Server> {
  const server = createServer((req, res) => {
    answer(service, req).catch((error: Error) => malformed(error.message))
      .then(found => send(req, res, found))
      .catch(() => res.destroy())
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}
