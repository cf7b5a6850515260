/**
 * Serves a Hono application on a loopback port.
 */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import type { Hono } from 'hono'

/** Bindings that give handlers the raw request and response. */
export interface RawBindings { Bindings: HttpBindings }

/** A stand-in that listens on a port. */
export interface ListeningStandIn {
  readonly url: string
  readonly port: number
  /** Stops listening and closes all connections. */
  close: () => Promise<void>
}

/**
 * Starts a server for a stand-in on loopback.
 *
 * @param app - routes of the stand-in
 * @param port - 0 lets the kernel choose one
 */
export async function serve (app: Hono<RawBindings>, port = 0): Promise<ListeningStandIn> {
  const server = createAdaptorServer({ fetch: app.fetch }) as Server
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', 1024, resolve)
  })
  const bound = (server.address() as AddressInfo).port
  return {
    url: `http://127.0.0.1:${bound}`,
    port: bound,
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}
