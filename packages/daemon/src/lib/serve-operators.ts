/**
 * The read-only HTTP interface for operators, on a port of its own and protected by a token.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { EventRing } from '@hazelford/core'
import { createAdaptorServer } from '@hono/node-server'
import { Hono } from 'hono'

/** Data that the interface serves. */
export interface OperatorView {
  readonly status: () => object
  readonly events: EventRing
}

/** The listening HTTP server for operators. */
export interface OperatorServer {
  readonly port: number
  readonly close: () => void
}

const bearer = 'Bearer '

function digest (text: string): Buffer { return createHash('sha256').update(text).digest() }

/** Compares in constant time, so that response times reveal nothing about the token. */
function sameToken (given: string, token: string): boolean {
  return timingSafeEqual(digest(given), digest(token))
}

/**
 * Starts the HTTP server for operators.
 *
 * @param view - data to serve
 * @param token - bearer token that a request must send
 * @param host - address to listen on
 * @param port - port to listen on; 0 lets the kernel choose one
 */
export async function serveOperators (view: OperatorView, token: string, host: string, port: number): Promise<OperatorServer> {
  const app = new Hono()
  app.use(async (c, next) => {
    const given = c.req.header('authorization') ?? ''
    if (!given.startsWith(bearer) || !sameToken(given.slice(bearer.length), token)) {
      return c.json({ error: 'Send the operator token as "Authorization: Bearer ...".' }, 401)
    }
    return next()
  })
  app.get('/status', c => c.json({ ...view.status(), memory: process.memoryUsage(), cpu: process.cpuUsage(), uptimeMs: Math.round(process.uptime() * 1_000) }))
  app.get('/timeline', c => c.json({ dropped: view.events.dropped, events: view.events.list() }))
  const server = createAdaptorServer({ fetch: app.fetch }) as Server
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}
