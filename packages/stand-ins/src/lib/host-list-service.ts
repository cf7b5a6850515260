/**
 * Stand-in for the platform's list of hosts (Consul's health interface).
 */
import { Hono } from 'hono'
import { type ListeningStandIn, type RawBindings, serve } from './serve.js'

/** A host as a test or launcher registers it. */
export interface ListedHost {
  readonly name: string
  readonly role: 'entry' | 'sidecar'
  readonly zone: string
  readonly port: number
  readonly operatorPort: number
  readonly leaving?: boolean
}

/** The stand-in and its fault switches. */
export interface HostListService extends ListeningStandIn {
  /** Registers a host or replaces its registration. */
  put: (host: ListedHost) => void
  remove: (name: string) => void
  /** While set, changes are withheld and readers see the old list. */
  lag: boolean
  /** While set, every call fails. */
  outage: boolean
}

/**
 * Starts the host list service.
 */
export async function startHostListService (): Promise<HostListService> {
  const hosts = new Map<string, ListedHost>()
  let shown: ListedHost[] = []
  let index = 1
  let waiters: (() => void)[] = []

  function publish (): void {
    if (service.lag) return
    shown = [...hosts.values()]
    index++
    const released = waiters
    waiters = []
    for (const wake of released) wake()
  }

  const app = new Hono<RawBindings>()
  app.get('/v1/health/service/:name', async c => {
    if (service.outage) return c.text('outage', 500)
    const since = Number(c.req.query('index') ?? 0)
    if (since >= index) {
      await new Promise<void>(resolve => {
        waiters.push(resolve)
        setTimeout(resolve, Number.parseInt(c.req.query('wait') ?? '10000', 10)).unref()
      })
    }
    c.header('x-consul-index', String(index))
    return c.json(shown.map(host => ({
      Service: {
        ID: host.name,
        Address: '127.0.0.1',
        Port: host.port,
        Meta: { role: host.role, zone: host.zone, operator_port: String(host.operatorPort) }
      },
      Checks: [{ Status: host.leaving === true ? 'critical' : 'passing' }]
    })))
  })

  const listening = await serve(app)
  let lag = false
  const service: HostListService = {
    ...listening,
    put: host => {
      hosts.set(host.name, host)
      publish()
    },
    remove: name => {
      hosts.delete(name)
      publish()
    },
    get lag () { return lag },
    set lag (value: boolean) {
      lag = value
      publish()
    },
    outage: false
  }
  return service
}
