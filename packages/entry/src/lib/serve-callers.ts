/**
 * The HTTP interface for callers.
 */
import { type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { failure, type Failure } from '@hazelford/core'
import type { Config } from '@hazelford/config'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { type Context, Hono } from 'hono'
import type { Result } from 'neverthrow'
import { type Call, readBody, readCompletion, readPlainCall } from './call-reader.js'
import type { Entry } from './entry.js'

interface AppEnv { Bindings: HttpBindings }

/** The listening HTTP server for callers. */
export interface CallerServer {
  readonly port: number
  /** Closes idle connections and accepts no new ones. */
  readonly close: () => Promise<void>
}

const maxHeaderBytes = 16 * 1024
const headersTimeoutMs = 10_000
const servicesPrefix = '/services/'

type ReadCall = (body: Buffer, config: Config) => Result<Call, Failure>

function noConfigFailure (): Failure {
  return failure('not-run', 'no-upstream', 'No configuration is known yet. Send the request again later.', 1_000)
}

async function handle (entry: Entry, c: Context<AppEnv>, read: ReadCall): Promise<Response> {
  const req = c.env.incoming as IncomingMessage
  const res = c.env.outgoing as ServerResponse
  const body = await readBody(req, entry.options.maxBodyBytes)
  const { config } = entry.config
  if (body.isErr()) {
    // The rest of an oversized body is not read, so the connection can't be reused.
    res.setHeader('connection', 'close')
    entry.refuse(res, body.error)
  } else if (config === undefined) {
    entry.refuse(res, noConfigFailure())
  } else {
    read(body.value, config).match(call => entry.run(call, res), cause => entry.refuse(res, cause))
  }
  return RESPONSE_ALREADY_SENT
}

function listModels (config: Config): object {
  const data = [...config.adapters.values()].flatMap(adapter =>
    adapter.versions.map(version => ({ id: `${adapter.name}@${version}`, object: 'model', owned_by: adapter.service })))
  return { object: 'list', data }
}

/** Splits `/services/<name>/<path>` into the name and the path with its query. */
function splitServicePath (url: string): { readonly name: string, readonly path: string } {
  const rest = url.slice(servicesPrefix.length)
  const end = rest.search(/[/?]/)
  if (end < 0) return { name: rest, path: '/' }
  const path = rest.slice(end)
  return { name: rest.slice(0, end), path: path.startsWith('/') ? path : `/${path}` }
}

function createApp (entry: Entry): Hono<AppEnv> {
  const app = new Hono<AppEnv>()
  for (const path of ['/v1/completions', '/v1/chat/completions']) {
    app.post(path, c => handle(entry, c, (body, config) => readCompletion(c.env.incoming as IncomingMessage, path, body, config)))
  }
  app.get('/v1/models', c => {
    const { config } = entry.config
    return config === undefined ? c.json({ object: 'list', data: [] }) : c.json(listModels(config))
  })
  app.get('/healthz', c => c.text('ok'))
  app.get('/readyz', c => entry.ready ? c.text('ready') : c.text('not ready', 503))
  app.all(`${servicesPrefix}*`, c => {
    const req = c.env.incoming as IncomingMessage
    const { name, path } = splitServicePath(req.url ?? '')
    return handle(entry, c, (body, config) => readPlainCall(req, name, path, body, config))
  })
  app.notFound(c => c.json({ error: { message: `Nothing is served at ${c.req.path}. See docs/CALLERS.md.`, code: 'bad-request', verdict: 'not-run' } }, 404))
  return app
}

/**
 * Starts the HTTP server for callers.
 *
 * @param entry - entry that runs the calls
 * @param host - address to listen on
 * @param port - port to listen on; 0 lets the kernel choose one
 */
export async function serveCallers (entry: Entry, host: string, port: number): Promise<CallerServer> {
  const server = createAdaptorServer({
    fetch: createApp(entry).fetch,
    serverOptions: { maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs, noDelay: true }
  }) as Server
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, 4096, resolve)
  })
  return {
    port: (server.address() as AddressInfo).port,
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}
