/**
 * Starts a hono application on a port that the kernel chooses.
 */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import type { Hono } from 'hono'

/** Bindings that give handlers the raw request and response. */
export interface Raw { Bindings: HttpBindings }

/** A stand-in that listens. */
export interface Listening {
  readonly url: string
  readonly port: number
  /** Stops listening and cuts all connections. */
  close: () => Promise<void>
}

/**
 * Serves an application on loopback.
 *
 * @param app - routes
 * @param port - 0 lets the kernel choose
 */
export async function serve (app: Hono<Raw>, port = 0): Promise<Listening> {
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
