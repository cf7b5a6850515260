/**
 * Admits requests: finds their route and the organisation that sends them.
 */
import { type Clock, type Log, type Ms, abbreviateKeyDigest } from '@hazelford/core'
import { type CallerIdentity, identifyCaller, pickService, type RouteTable } from '@hazelford/decisions'
import type { CallCodec, CallMetadata, Credential, Organisation, Route } from '@hazelford/ports'
import type { EntryError } from './caller-answer.js'
import type { IncomingRequest } from './caller-server.js'
import { shutdownRetryAfter } from './relay-runner.js'
import type { WaitingRequests } from './waiting-requests.js'
import type { ConfigVerifier } from '../store/config-verifier.js'
import { sharedPartIds } from './prompt-parts.js'
import type { EntryMetrics } from '../metrics.js'
import type { BufferedCall } from './relay-task.js'
import type { Admission } from '../usage/credit-queue.js'

/** A request that may run. */
export interface AdmittedCall {
  readonly incoming: IncomingRequest
  readonly call: BufferedCall
  readonly route: Route
  readonly service: string
  /** The configuration by which it was admitted. */
  readonly table: RouteTable
  /** Whether its caller may still send it. */
  readonly isAllowed: () => boolean
  /** Returns its usage, when it has not run. */
  readonly refund: () => void
}

/** What the intake needs of its entry. */
export interface RequestIntakeOptions {
  readonly clock: Clock
  readonly log: Log
  readonly metrics: EntryMetrics
  readonly codec: CallCodec
  /** The configuration in force; undefined when none is known. */
  readonly table: () => RouteTable | undefined
  /** Whether new requests are refused, since the entry stops soon. */
  readonly refusing: () => boolean
  readonly verifier: ConfigVerifier
  readonly waiting: WaitingRequests
  readonly viewAge: () => Ms
  /** Ms within which an accepted change must be in force. */
  readonly applyWithin: () => Ms
  /**
   * Takes a request's usage from its organisation's credit; synchronous unless the request has to wait for credit, for
   * `patience` ms at most, more urgent ones first.
   */
  readonly admit: (organisation: Organisation, tokens: number | undefined, patience: Ms, urgency: number) => Admission | Promise<Admission>
  /** Counts a request of an organisation by its end. */
  readonly organisationEnded: (organisation: string, end: string) => void
  readonly relay: (admitted: AdmittedCall) => void
}

const noConfigRetryAfter: Ms = 500
/** Short, since another entry may have a fresh configuration. */
const unverifiedRetryAfter: Ms = 300

/** Refuses a request that has not run: the entry stops. */
export function refuseStopping (incoming: IncomingRequest, metrics: EntryMetrics): void {
  metrics.requests.inc({ kind: 'none', end: 'shutting-down' })
  incoming.answer.fail({ kind: 'relay', failure: 'shutting-down', notRun: true, retryAfter: shutdownRetryAfter })
}

/** Handles requests of callers. */
export class RequestIntake {
  constructor (private readonly _options: RequestIntakeOptions) {}

  /** Handles a request that was read completely. */
  handle (incoming: IncomingRequest): void {
    const { log, metrics, refusing } = this._options
    const table = this._options.table()
    if (table === undefined) {
      log.info('request', 'refused, since no configuration is known.', { request: this._idOf(incoming) })
      return incoming.answer.fail({ kind: 'no-config', retryAfter: noConfigRetryAfter })
    }
    if (refusing()) {
      log.info('request', 'refused, since the entry stops.', { request: this._idOf(incoming) })
      return refuseStopping(incoming, metrics)
    }
    if (table.config.access.kind === 'anyone') return this._identify(incoming, table, { kind: 'absent' })
    const credential = this._options.codec.readCredential(incoming.headers)
    if (!this._mustVerify(incoming, table, credential)) {
      this._options.verifier.refresh()
      return this._identify(incoming, table, credential)
    }
    const { verifier, waiting } = this._options
    waiting.wait(incoming, this._idOf(incoming), 'configuration', verifier.verify()).then(
      () => this._verified(incoming, credential),
      (error: Error) => {
        this._options.log.warn('config', 'not verified.', { request: this._idOf(incoming), error: error.message })
        this._refuse(incoming, { kind: 'config-unproven', retryAfter: unverifiedRetryAfter })
      }
    )
  }

  /** Whether the configuration at hand may be too old to decide by. */
  private _mustVerify (incoming: IncomingRequest, table: RouteTable, credential: Credential): boolean {
    const { verifier, viewAge, applyWithin } = this._options
    if (!verifier.isFresh) return !this._isPublic(incoming, table)
    // A key that was just added is refused until the change arrives here, and callers don't retry after 401.
    const isUnknown = credential.kind === 'key' && table.organisationOf(credential.digest) === undefined
    return isUnknown && viewAge() > applyWithin()
  }

  private _isPublic ({ host, target }: IncomingRequest, table: RouteTable): boolean { return table.match(host, target)?.public === true }

  private _verified (incoming: IncomingRequest, credential: Credential): void {
    const { verifier, log, viewAge } = this._options
    const table = this._options.table()
    // The caller may have left during the query.
    if (incoming.answer.ended || incoming.isGone()) return
    if (table === undefined) return this._refuse(incoming, { kind: 'no-config', retryAfter: noConfigRetryAfter })
    if (verifier.isFresh || this._isPublic(incoming, table)) return this._identify(incoming, table, credential)
    log.info('request', 'configuration too old to let callers in.', { request: this._idOf(incoming), age: Math.round(viewAge()), version: table.version })
    this._refuse(incoming, { kind: 'config-unproven', retryAfter: unverifiedRetryAfter })
  }

  /** Refuses a request that has not run, unless it has its answer. */
  private _refuse (incoming: IncomingRequest, error: EntryError): void {
    if (incoming.answer.ended) return
    this._options.metrics.requests.inc({ kind: 'none', end: error.kind })
    incoming.answer.fail(error)
  }

  /** Request id for the log, where it can be read. */
  private _idOf ({ headers }: IncomingRequest): string | undefined {
    const facts = this._options.codec.readCall(headers)
    return facts.isOk() ? facts.value.id : undefined
  }

  private _identify (incoming: IncomingRequest, table: RouteTable, credential: Credential): void {
    const { log, metrics } = this._options
    const route = table.match(incoming.host, incoming.target)
    if (route === undefined) {
      log.info('request', 'no route.', { request: this._idOf(incoming), host: incoming.host, target: incoming.target, version: table.version })
      metrics.requests.inc({ kind: 'none', end: 'no-route' })
      return incoming.answer.fail({ kind: 'no-route' })
    }
    const identity = identifyCaller(table, route, credential)
    if (identity.kind === 'unauthorised') return this._unauthorised(incoming, table, route, credential, identity)
    this._read(incoming, table, route, credential, identity)
  }

  private _unauthorised (incoming: IncomingRequest, table: RouteTable, route: Route, credential: Credential, { cause }: CallerIdentity & { readonly kind: 'unauthorised' }): void {
    const { log, metrics, viewAge } = this._options
    log.info('request', 'unauthorised.', { request: this._idOf(incoming), route: route.name, cause, key: credential.kind === 'key' ? abbreviateKeyDigest(credential.digest) : undefined, version: table.version, age: Math.round(viewAge()) })
    metrics.requests.inc({ kind: route.kind, end: 'unauthorised' })
    incoming.answer.fail({ kind: 'unauthorised', cause })
  }

  private _read (incoming: IncomingRequest, table: RouteTable, route: Route, credential: Credential, identity: CallerIdentity & { readonly kind: 'anyone' | 'organisation' }): void {
    const { log, codec } = this._options
    const facts = codec.readCall(incoming.headers)
    if (facts.isErr()) {
      log.info('request', 'bad request.', { host: incoming.host, target: incoming.target, problem: facts.error })
      return incoming.answer.fail({ kind: 'bad-request', message: facts.error })
    }
    const service = pickService(route, facts.value.id)
    if (service === undefined) {
      log.info('request', 'no service on its route.', { request: facts.value.id, route: route.name, version: table.version })
      return incoming.answer.fail({ kind: 'no-route' })
    }
    const organisation = identity.kind === 'organisation' ? identity.organisation : undefined
    const { method, host, target, headers, body, arrivedAt } = incoming
    // A spread of `incoming`, which holds closures, takes fifty times as long.
    const call: BufferedCall = {
      facts: facts.value,
      method,
      host,
      path: target,
      headers,
      body,
      arrivedAt,
      byKey: table.config.access.kind === 'by-key',
      organisation: organisation?.name,
      priority: organisation?.priority ?? route.priority,
      sharedParts: sharedPartIds(facts.value.promptParts)
    }
    const relay = (refund: () => void): void => {
      this._options.relay({ incoming, call, route, service, table, isAllowed: () => this._isAllowed(route, credential, organisation?.name), refund })
    }
    if (organisation === undefined) relay(() => {})
    else this._charge(incoming, route, organisation, facts.value, relay)
  }

  /** Takes the request's usage, and admits it if it is within its organisation's limit. */
  private _charge (incoming: IncomingRequest, route: Route, organisation: Organisation, facts: CallMetadata, relay: (refund: () => void) => void): void {
    const { admit, clock, log, metrics, organisationEnded, waiting } = this._options
    const decided = (admission: Admission): void => {
      if (admission.kind === 'admitted') {
        if (incoming.answer.ended || incoming.isGone()) admission.refund()
        else relay(admission.refund)
        return
      }
      if (incoming.answer.ended) return
      const { retryAfter } = admission
      log.info('request', 'over its usage limit.', { request: facts.id, organisation: organisation.name, tokens: facts.promptTokens + facts.maxOutputTokens, retryAfter: Math.round(retryAfter) })
      metrics.requests.inc({ kind: route.kind, end: 'over-limit' })
      organisationEnded(organisation.name, 'over-limit')
      incoming.answer.fail({ kind: 'over-limit', organisation: organisation.name, retryAfter })
    }
    const patience = incoming.arrivedAt + Math.min(facts.patience ?? Infinity, route.timeout) - clock.now()
    const admission = admit(organisation, facts.declaresTokens ? facts.promptTokens + facts.maxOutputTokens : undefined, patience, organisation.priority ?? route.priority)
    // This is the turn of the event loop in which the request was read, so a close of its connection can't have been
    // missed.
    if (!(admission instanceof Promise)) decided(admission)
    else {
      waiting.wait(incoming, facts.id, 'usage', admission).then(decided, (error: Error) => {
        log.warn('request', 'usage not charged.', { request: facts.id, error: error.message })
        this._refuse(incoming, { kind: 'usage-unknown', retryAfter: unverifiedRetryAfter })
      })
    }
  }

  /** Whether the key of an admitted request is still accepted for its route. */
  private _isAllowed (route: Route, credential: Credential, organisation: string | undefined): boolean {
    const table = this._options.table()
    if (organisation === undefined || table === undefined || credential.kind !== 'key') return true
    const identity = identifyCaller(table, route, credential)
    return identity.kind === 'anyone' || (identity.kind === 'organisation' && identity.organisation.name === organisation)
  }
}
