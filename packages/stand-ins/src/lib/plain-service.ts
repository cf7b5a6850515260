/**
 * Stand-in for a plain service that takes bookings, each of which must run at most once.
 */
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono } from 'hono'
import { type ListeningStandIn, type RawBindings, serve } from './serve.js'

/** Faults of the service. */
export interface PlainFaults {
  /** Delay in ms before a booking runs. */
  delay: number
  /** This many of the next bookings are made but lose their reply. */
  lostReplies: number
  /** Share of bookings that are made but lose their reply. */
  lostShare: number
}

/** The stand-in, its fault switches and its records. */
export interface PlainService extends ListeningStandIn {
  readonly faults: PlainFaults
  /** Number of runs of each booking, by the token in its body. */
  readonly bookings: Map<string, number>
  readonly running: () => number
  /** Request headers of the last call of `/echo`. */
  readonly echoed: () => Record<string, string>
}

/**
 * Starts a plain service with `POST /reservations` and `GET /stock`.
 *
 * @param port - 0 lets the kernel choose one
 */
export async function startPlainService (port = 0): Promise<PlainService> {
  const faults: PlainFaults = { delay: 0, lostReplies: 0, lostShare: 0 }
  const bookings = new Map<string, number>()
  let running = 0
  let echoed: Record<string, string> = {}

  function losesReply (): boolean {
    if (faults.lostReplies > 0) {
      faults.lostReplies--
      return true
    }
    return Math.random() < faults.lostShare
  }

  const app = new Hono<RawBindings>()
  app.get('/health', c => c.text('ok'))
  app.get('/stock', c => c.json({ chairs: 12, accept: c.req.header('accept') }))
  app.all('/echo', c => {
    echoed = c.req.header()
    return c.text('ok', 200, { 'keep-alive': 'timeout=99', 'x-own': 'yes' })
  })
  app.post('/reservations', async c => {
    const { token } = await c.req.json<{ token: string }>()
    running++
    if (faults.delay > 0) await new Promise(resolve => { setTimeout(resolve, faults.delay) })
    running--
    bookings.set(token, (bookings.get(token) ?? 0) + 1)
    if (!losesReply()) return c.json({ booked: token, number: bookings.size }, 201, { 'x-booking': token })
    c.env.incoming.socket.destroy()
    return RESPONSE_ALREADY_SENT
  })
  const listening = await serve(app, port)
  return { ...listening, faults, bookings, running: () => running, echoed: () => echoed }
}
