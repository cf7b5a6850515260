/**
 * Stand-in for the rate-limited store of adapter weights.
 */
import { Hono } from 'hono'
import { type ListeningStandIn, type RawBindings, serve } from './serve.js'

/** Rate limits of the store. */
export interface WeightStoreLimits {
  /** Downloads that may begin in one second; further ones are answered 429. */
  readonly perSecond: number
  /** Downloads that run at full speed concurrently; with more, all share that speed. */
  readonly fullSpeed: number
  /** Duration in ms of one download at full speed. */
  readonly loadMs: number
}

/** The stand-in, its fault switches and its counts. */
export interface WeightStore extends ListeningStandIn {
  /** Share of downloads that fail. */
  failShare: number
  /** Factor by which downloads take longer. */
  slowness: number
  readonly counts: { served: number, refused: number, failed: number, mostAtOnce: number }
}

const sliceMs = 5

/**
 * Starts the weight store.
 *
 * @param limits - its rate limits
 */
export async function startWeightStore (limits: WeightStoreLimits): Promise<WeightStore> {
  let active = 0
  let begun: number[] = []

  /** Simulates a download, which advances by its share of the store's speed. */
  async function transfer (): Promise<void> {
    let left = limits.loadMs * store.slowness
    let last = performance.now()
    while (left > 0) {
      await new Promise(resolve => { setTimeout(resolve, Math.min(sliceMs, left)) })
      const now = performance.now()
      left -= (now - last) * Math.min(1, limits.fullSpeed / active)
      last = now
    }
  }

  const app = new Hono<RawBindings>()
  app.get('/weights/:path{.+}', async c => {
    const now = performance.now()
    begun = begun.filter(at => now - at < 1_000)
    if (begun.length >= limits.perSecond) {
      store.counts.refused++
      return c.text('rate limit', 429)
    }
    begun.push(now)
    active++
    store.counts.mostAtOnce = Math.max(store.counts.mostAtOnce, active)
    try {
      await transfer()
    } finally {
      active--
    }
    if (Math.random() < store.failShare) {
      store.counts.failed++
      return c.text('damaged', 500)
    }
    store.counts.served++
    return c.text(`weights of ${c.req.param('path')}`)
  })

  const listening = await serve(app)
  const store: WeightStore = {
    ...listening,
    failShare: 0,
    slowness: 1,
    counts: { served: 0, refused: 0, failed: 0, mostAtOnce: 0 }
  }
  return store
}
