/**
 * Counters and histograms, as text for a scraper.
 */
import { createServer, type Server } from 'node:http'
import { assertNever } from '@hazelford/core'
import type { LateCause } from '@hazelford/decisions'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Bounds in ms: fine around the latency targets of plain calls and of streams. */
const latencyBuckets = [5, 10, 20, 40, 80, 120, 160, 240, 400, 800, 1_200, 2_000, 4_000, 8_000, 16_000]

/** Organisations counted by name; all further ones are counted as one, so that a scrape stays small. */
const organisationsNamed = 50
const otherOrganisations = 'others'

/** An engine whose speed is known. */
export interface MeasuredEngine {
  readonly upstream: string
  readonly speed: number
  /** Ms since this entry estimated the speed; undefined for a speed that another entry has estimated. */
  readonly age: number | undefined
}

/** Metrics of an entry. */
export class EntryMetrics {
  private readonly _registry = new Registry()
  readonly requests = this._counter('hazelford_requests_total', 'Requests by route kind and end.', ['kind', 'end'])
  readonly answersCut = this._counter('hazelford_answers_cut_total', 'Requests whose connection this entry closed without a whole answer, by cause.', ['cause'])
  readonly answersExceeded = this._counter('hazelford_answers_exceeded_total', 'Connections to upstreams that this entry closed since too much arrived on them, by what it was.', ['form'])
  readonly unprovedEnds = this._counter('hazelford_unproved_ends_total', 'Answers without a length that count as lost, since the end of their connection proves nothing, by cause.', ['cause'])
  readonly sends = this._counter('hazelford_sends_total', 'Requests sent to upstreams, by outcome.', ['outcome'])
  readonly repeats = this._counter('hazelford_repeats_total', 'Repeats by whether the budget allowed them.', ['allowed'])
  readonly overdueReads = this._counter('hazelford_overdue_reads_total', 'Reads that are overdue at an upstream, were sent to a second one, or were answered by that.', ['event'])
  private readonly _stalled = this._counter('hazelford_stalled_requests_total', 'Requests whose silent upstream continued, that were sent to a second one, or were continued by that.', ['event'])
  readonly heldRequests = this._counter('hazelford_held_requests_total', 'Requests that this entry holds back, since upstreams ended under them.', [])
  readonly quarantinedParts = this._counter('hazelford_quarantined_parts_total', 'Prompt parts that this entry quarantined, since upstreams terminated while running requests with them.', [])
  readonly notices = this._counter('hazelford_upstream_notices_total', 'Changes of what upstreams say of themselves in answers: a request limit, that they leave, that they want rest.', ['notice'])
  readonly storeCalls = this._counter('hazelford_store_calls_total', 'Calls to the store, by outcome.', ['call', 'outcome'])
  readonly storeBytes = this._counter('hazelford_store_answer_bytes_total', 'Bytes of the answers of the store, by outcome; `none` and `too-large` are incomplete answers.', ['call', 'outcome'])
  readonly resumptions = this._counter('hazelford_stream_resumptions_total', 'Streams that callers resume, by where their origin was found.', ['origin'])
  readonly storedOrigins = this._counter('hazelford_stored_origins_total', 'Streams whose origins this entry wrote to the store, or dropped for lack of room.', ['outcome'])
  readonly dropped = this._counter('hazelford_log_lines_dropped_total', 'Log lines left out.', [])
  readonly latency = this._histogram('hazelford_request_ms', 'From a request to the end of its answer.', ['kind'])
  readonly firstByte = this._histogram('hazelford_first_byte_ms', 'From a send to the first byte of its answer.', ['kind'])
  readonly loadStall = this._histogram('hazelford_load_stall_ms', 'Wait of requests for an adapter.', [])
  private readonly _organisationRequests = this._counter('hazelford_organisation_requests_total', 'Requests by organisation and end.', ['organisation', 'end'])
  private readonly _organisationWaits = this._counter('hazelford_organisation_wait_ms_total', 'Ms that requests waited before they were sent, by organisation and by what they waited for.', ['organisation', 'cause'])
  private readonly _organisations = new Set<string>()
  readonly open = new Gauge({ name: 'hazelford_open_requests', help: 'Requests without their whole answer.', registers: [this._registry] })
  /** Returns the age of the view in ms, at each scrape. */
  currentViewAge: () => number = () => Infinity
  readonly viewAge: Gauge = new Gauge({ name: 'hazelford_view_age_ms', help: 'Time for which changes in the store may have been missed.', registers: [this._registry], collect: () => this.viewAge.set(this.currentViewAge()) })
  /** Returns the speeds of the engines that this entry holds, at each scrape. */
  currentEngineSpeeds: () => readonly MeasuredEngine[] = () => []
  readonly engineSpeed: Gauge<'upstream'> = new Gauge({ name: 'hazelford_engine_speed', help: 'Speed of the engines that this entry holds, relative to the others of their service.', labelNames: ['upstream'], registers: [this._registry], collect: () => this._collectEngines(this.engineSpeed, ({ speed }) => speed) })
  readonly engineSpeedAge: Gauge<'upstream'> = new Gauge({ name: 'hazelford_engine_speed_age_ms', help: 'Time since those speeds were estimated; none for speeds that another entry has estimated.', labelNames: ['upstream'], registers: [this._registry], collect: () => this._collectEngines(this.engineSpeedAge, ({ age }) => age) })
  readonly configVersion = new Gauge({ name: 'hazelford_config_version', help: 'Version of the configuration in force.', registers: [this._registry] })

  private _collectEngines (gauge: Gauge<'upstream'>, read: (engine: MeasuredEngine) => number | undefined): void {
    gauge.reset()
    for (const engine of this.currentEngineSpeeds()) {
      const value = read(engine)
      if (value !== undefined) gauge.set({ upstream: engine.upstream }, value)
    }
  }

  private _counter<L extends string> (name: string, help: string, labelNames: readonly L[]): Counter<L> {
    return new Counter({ name, help, labelNames, registers: [this._registry] })
  }

  private _histogram<L extends string> (name: string, help: string, labelNames: readonly L[]): Histogram<L> {
    return new Histogram({ name, help, labelNames, buckets: latencyBuckets, registers: [this._registry] })
  }

  /** Counts an event of a request that its upstream is late with or silent about. */
  countLate (cause: LateCause, event: string): void {
    switch (cause) {
      case 'overdue': return this.overdueReads.inc({ event })
      case 'stalled': return this._stalled.inc({ event })
      default: return assertNever(cause)
    }
  }

  /** Counts a request of an organisation by its end. */
  countOrganisation (name: string, end: string): void { this._organisationRequests.inc({ organisation: this._organisationLabel(name), end }) }

  /** Counts the waits of a request of an organisation, in ms. */
  countOrganisationWaits (name: string, adapter: number, admission: number): void {
    const organisation = this._organisationLabel(name)
    this._organisationWaits.inc({ organisation, cause: 'adapter' }, adapter)
    this._organisationWaits.inc({ organisation, cause: 'admission' }, admission)
  }

  private _organisationLabel (name: string): string {
    if (this._organisations.size < organisationsNamed) this._organisations.add(name)
    return this._organisations.has(name) ? name : otherOrganisations
  }

  text (): Promise<string> { return this._registry.metrics() }

  /** Creates a server that answers with the metrics at `path`. */
  createServer (path: string): Server {
    return createServer((req, res) => {
      if (req.url !== path) {
        res.writeHead(404)
        res.end()
        return
      }
      this.text().then(text => {
        res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
        res.end(text)
      }, () => {
        res.writeHead(500)
        res.end()
      })
    })
  }
}
